import type {
  CallId,
  Logger,
  ProgramId,
  Result,
  TimerService,
  TimerSubscription,
} from '@zincring/core';

import { Channel, Err, failureText, Ok, settle, startProcess, ZincringError } from '@zincring/core';

import type { RunningCall } from './runningCall.js';

/** Options of {@link CallMailboxes}. */
export interface CallMailboxesOptions {
  readonly logger: Logger;
  readonly timers: TimerService;
  /** Maximum number of waiting calls of one branch. */
  readonly maximumMailbox: number;
}

/** Runs one call until it has finished. */
export type RunCall = (runningCall: RunningCall) => Promise<void>;

/**
 * The queued and running calls of the programs of one shard. Each branch of a program has a
 * mailbox: its calls run one after the other, concurrently with those of other branches.
 */
export class CallMailboxes {
  private readonly mailboxes = new Map<string, Channel<RunningCall>>();
  private readonly calls = new Map<string, RunningCall>();
  private readonly queueTimeouts = new Map<RunningCall, TimerSubscription>();

  public constructor(private readonly options: CallMailboxesOptions) {}

  /** Number of mailboxes that have calls. */
  public get size(): number {
    return this.mailboxes.size;
  }

  /** Finds a queued or running call. */
  public findCall(program: ProgramId, call: CallId): RunningCall | undefined {
    return this.calls.get(formatKey(program, call));
  }

  /** Whether any call of a program is queued or running. */
  public isBusy(program: ProgramId): boolean {
    return [...this.calls.values()].some(runningCall => runningCall.request.program === program);
  }

  /** Puts a call into the mailbox of its branch. */
  public enqueue(runningCall: RunningCall, run: RunCall): Result<void, ZincringError> {
    const { call, parentCall, program, timeoutMilliseconds } = runningCall.request;
    const branchKey = formatKey(program, parentCall ?? '');
    const mailbox = this.mailboxes.get(branchKey) ?? this.openMailbox(branchKey, run);
    if (!mailbox.offer(runningCall)) {
      return Err(new ZincringError('mailbox-full'));
    }
    this.calls.set(formatKey(program, call), runningCall);
    const queueTimeout = this.options.timers.after(timeoutMilliseconds, () => {
      runningCall.refuseIfQueued(new ZincringError('deadline-exceeded-in-queue'));
    });
    this.queueTimeouts.set(runningCall, queueTimeout);
    return Ok(undefined);
  }

  /** Refuses the queued calls and waits until the running ones have finished. */
  public async close(): Promise<void> {
    const calls = [...this.calls.values()];
    for (const runningCall of calls) {
      runningCall.refuseIfQueued(new ZincringError('shard-unavailable'));
    }
    await Promise.all(calls.map(async runningCall => runningCall.waitForEnd()));
  }

  /** Interrupts all queued and running calls immediately. */
  public interruptAll(): void {
    for (const runningCall of this.calls.values()) {
      runningCall.interrupt();
    }
  }

  private openMailbox(branchKey: string, run: RunCall): Channel<RunningCall> {
    const mailbox = new Channel<RunningCall>(this.options.maximumMailbox);
    this.mailboxes.set(branchKey, mailbox);
    const { calls, mailboxes, queueTimeouts } = this;
    startProcess(
      function* runCalls() {
        while (mailboxes.get(branchKey) === mailbox) {
          const runningCall = yield* mailbox.receive();
          if (runningCall === undefined) {
            return;
          }
          queueTimeouts.get(runningCall)?.stop();
          queueTimeouts.delete(runningCall);
          if (runningCall.start()) {
            yield* settle(run(runningCall));
          }
          const { call, program } = runningCall.request;
          calls.delete(formatKey(program, call));
          if (mailbox.size === 0) {
            mailboxes.delete(branchKey);
          }
        }
      },
      failure => {
        this.options.logger.error({ failure: failureText(failure) }, 'mailbox failed');
        this.mailboxes.delete(branchKey);
      },
    );
    return mailbox;
  }
}

function formatKey(program: ProgramId, call: string): string {
  return `${program}/${call}`;
}
