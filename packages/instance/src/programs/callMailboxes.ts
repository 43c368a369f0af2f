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

/** What mailboxes need. */
export interface CallMailboxesOptions {
  readonly logger: Logger;
  readonly timers: TimerService;
  /** Most calls of one branch that wait. */
  readonly maximumMailbox: number;
}

/** Runs one call to its end. */
export type RunCall = (running: RunningCall) => Promise<void>;

/**
 * The calls of the programs of one shard that wait or run. Each branch of a program has a mailbox:
 * its calls run one after the other, beside those of other branches.
 */
export class CallMailboxes {
  private readonly queues = new Map<string, Channel<RunningCall>>();
  private readonly calls = new Map<string, RunningCall>();
  private readonly timeouts = new Map<RunningCall, TimerSubscription>();

  public constructor(private readonly options: CallMailboxesOptions) {}

  /** Number of mailboxes with calls. */
  public get size(): number {
    return this.queues.size;
  }

  /** Finds a call that waits or runs. */
  public find(program: ProgramId, call: CallId): RunningCall | undefined {
    return this.calls.get(callKey(program, call));
  }

  /** Whether calls of a program wait or run. */
  public isBusy(program: ProgramId): boolean {
    return [...this.calls.values()].some(running => running.request.program === program);
  }

  /** Puts a call into the mailbox of its branch. */
  public enqueue(running: RunningCall, run: RunCall): Result<void, ZincringError> {
    const { call, parentCall, program, timeoutMilliseconds } = running.request;
    const key = callKey(program, parentCall ?? '');
    const queue = this.queues.get(key) ?? this.openMailbox(key, run);
    if (!queue.offer(running)) {
      return Err(new ZincringError('mailbox-full'));
    }
    this.calls.set(callKey(program, call), running);
    const timeout = this.options.timers.after(timeoutMilliseconds, () => {
      running.refuseQueued(new ZincringError('deadline-exceeded-in-queue'));
    });
    this.timeouts.set(running, timeout);
    return Ok(undefined);
  }

  /** Refuses what waits and lets what runs come to its end. */
  public async close(): Promise<void> {
    const calls = [...this.calls.values()];
    for (const running of calls) {
      running.refuseQueued(new ZincringError('shard-unavailable'));
    }
    await Promise.all(calls.map(async running => running.ended()));
  }

  /** Ends everything at once. */
  public drop(): void {
    for (const running of this.calls.values()) {
      running.interrupt();
    }
  }

  private openMailbox(key: string, run: RunCall): Channel<RunningCall> {
    const queue = new Channel<RunningCall>(this.options.maximumMailbox);
    this.queues.set(key, queue);
    const { calls, queues, timeouts } = this;
    startProcess(
      function* runCalls() {
        while (queues.get(key) === queue) {
          const running = yield* queue.receive();
          if (running === undefined) {
            return;
          }
          timeouts.get(running)?.stop();
          timeouts.delete(running);
          if (running.begin()) {
            yield* settle(run(running));
          }
          const { call, program } = running.request;
          calls.delete(callKey(program, call));
          if (queue.size === 0) {
            queues.delete(key);
          }
        }
      },
      failure => {
        this.options.logger.error({ failure: failureText(failure) }, 'mailbox failed');
        this.queues.delete(key);
      },
    );
    return queue;
  }
}

function callKey(program: ProgramId, call: string): string {
  return `${program}/${call}`;
}
