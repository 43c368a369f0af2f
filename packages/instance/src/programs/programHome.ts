import type {
  CallId,
  Epoch,
  Logger,
  ProgramId,
  Result,
  ShardId,
  TimerService,
} from '@zincring/core';
import type {
  ShardLeases,
  ShardOwner,
  ShardStateReference,
  WriteAheadLog,
} from '@zincring/coordination';
import type { ObjectStore } from '@zincring/platform';
import type { Configuration, ProgramRule, ServiceRule } from '@zincring/rules';

import { Channel, Err, failureText, Ok, settle, startProcess, ZincringError } from '@zincring/core';
import { shardOf } from '@zincring/coordination';

import type { GoneProgram } from '../upstreams/engineSweeper.js';
import type { UpstreamDispatcher } from '../upstreams/upstreamMessages.js';
import type {
  CallClosed,
  CallFrame,
  CallRequest,
  OpenProgramRequest,
  ProgramReference,
  ProgramService,
  ProgramSummary,
} from './programMessages.js';
import type { ProgramRecord, TurnRecord } from './programRecord.js';
import type { ProgramState } from './programState.js';

import { CallRunner } from './callRunner.js';
import { encodeProgramRecord } from './programRecord.js';
import { replayAnswer, RunningCall } from './runningCall.js';
import type { ShardPrograms } from './shardPrograms.js';
import { ShardStore } from './shardStore.js';

/** What the home of programs needs. */
export interface ProgramHomeOptions {
  readonly objects: ObjectStore;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly log: WriteAheadLog;
  readonly shardCount: number;
  readonly dispatcher: UpstreamDispatcher;
  readonly configuration: () => Configuration | undefined;
  /** Most calls of one program that wait. */
  readonly maximumMailbox: number;
}

interface QueuedCall {
  readonly request: CallRequest;
  readonly running: RunningCall;
}

/** A program's mailbox: its calls run one after the other. */
interface Mailbox {
  readonly queue: Channel<QueuedCall>;
  readonly calls: Map<CallId, RunningCall>;
}

interface HomeShard {
  readonly epoch: Epoch;
  readonly programs: ShardPrograms;
  readonly mailboxes: Map<ProgramId, Mailbox>;
  isClosing: boolean;
}

/** The programs whose shards this instance holds. */
export class ProgramHome implements ProgramService, ShardOwner {
  private readonly shards = new Map<ShardId, HomeShard>();
  private readonly store: ShardStore;
  private readonly runner: CallRunner;
  private leases: ShardLeases | undefined;

  public constructor(private readonly options: ProgramHomeOptions) {
    this.store = new ShardStore(options.objects, options.timers);
    this.runner = new CallRunner({
      dispatcher: options.dispatcher,
      record: async (state, record) => this.record(state, record),
      standing: program => this.leases?.standing(this.shardOf(program)) ?? 'none',
      timers: options.timers,
    });
  }

  /** Connects the leases, which need this owner themselves. */
  public attach(leases: ShardLeases): void {
    this.leases = leases;
  }

  /** Number of programs held. */
  public get programCount(): number {
    return [...this.shards.values()].reduce((sum, shard) => sum + shard.programs.size, 0);
  }

  /** The state of a program that is held here, whatever its workspace, for operators. */
  public inspect(program: ProgramId): ProgramState | undefined {
    return this.shards.get(this.shardOf(program))?.programs.find(program);
  }

  public async recover(
    shard: ShardId,
    epoch: Epoch,
    state: ShardStateReference,
  ): Promise<ShardStateReference> {
    const programs = await this.store.load(shard, state);
    this.shards.set(shard, { epoch, isClosing: false, mailboxes: new Map(), programs });
    return await this.reference(shard, epoch, programs);
  }

  public async handOver(shard: ShardId): Promise<ShardStateReference> {
    const home = this.shards.get(shard);
    if (home === undefined) {
      throw new Error(`shard ${shard} has no state`);
    }
    home.isClosing = true;
    await this.finishCalls(home);
    return await this.reference(shard, home.epoch, home.programs);
  }

  public drop(shard: ShardId): void {
    const home = this.shards.get(shard);
    for (const mailbox of home?.mailboxes.values() ?? []) {
      mailbox.queue.close();
    }
    this.shards.delete(shard);
  }

  public async open(request: OpenProgramRequest): Promise<Result<ProgramSummary, ZincringError>> {
    const rule = this.options.configuration()?.programs.get(request.policy);
    if (rule === undefined) {
      return Err(new ZincringError('bad-request', { detail: 'there is no such policy' }));
    }
    const home = this.findHome(request.program);
    if (home.err) {
      return home;
    }
    const known = home.val.programs.find(request.program);
    if (known !== undefined) {
      return known.opened.workspace === request.workspace
        ? Ok(known.summary)
        : Err(new ZincringError('program-not-found'));
    }
    return await this.create(home.val, request, rule);
  }

  public async describe(
    reference: ProgramReference,
  ): Promise<Result<ProgramSummary, ZincringError>> {
    const found = this.find(reference);
    return await Promise.resolve(found.map(state => state.summary));
  }

  public async end(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>> {
    const found = this.find(reference);
    if (found.err) {
      return found;
    }
    const ended = await this.record(found.val, { program: reference.program, type: 'ended' });
    return ended.map(() => found.val.summary);
  }

  /** Those of the programs that have ended or never were; only the holder of a shard can tell. */
  public findGone(programs: readonly ProgramId[]): readonly GoneProgram[] {
    return programs.flatMap(program => {
      const home = this.findHome(program);
      if (home.err) {
        return [];
      }
      const state = home.val.programs.find(program);
      return state === undefined || state.hasEnded ? [{ fence: home.val.epoch, program }] : [];
    });
  }

  public async *call(request: CallRequest): AsyncGenerator<CallFrame> {
    const found = this.find(request);
    if (found.err) {
      yield { error: found.val, kind: 'failed' };
      return;
    }
    const state = found.val;
    const home = this.shards.get(this.shardOf(request.program));
    const running = home?.mailboxes.get(request.program)?.calls.get(request.call);
    if (running !== undefined) {
      yield* running.follow(request.fromOffset);
      return;
    }
    const known = state.findCall(request.call);
    if (known.status === 'done') {
      yield* replayAnswer(known.turn.answer, request.fromOffset, closedOf(known.turn, state));
      return;
    }
    const started = this.start(request, state, known.status === 'intended');
    if (started.err) {
      yield { error: started.val, kind: 'failed' };
      return;
    }
    yield* started.val.follow(request.fromOffset);
  }

  private start(
    request: CallRequest,
    state: ProgramState,
    isIntended: boolean,
  ): Result<RunningCall, ZincringError> {
    if (isIntended) {
      return Err(new ZincringError('call-outcome-unknown'));
    }
    if (request.isAttachOnly) {
      return Err(new ZincringError('call-interrupted', { resume: state.resumePoint }));
    }
    const home = this.shards.get(this.shardOf(request.program));
    if (home === undefined || home.isClosing) {
      return Err(new ZincringError('shard-unavailable'));
    }
    const mailbox = this.mailboxOf(home, state);
    const running = new RunningCall();
    if (!mailbox.queue.offer({ request, running })) {
      return Err(new ZincringError('mailbox-full'));
    }
    mailbox.calls.set(request.call, running);
    return Ok(running);
  }

  private mailboxOf(home: HomeShard, state: ProgramState): Mailbox {
    const { program } = state.opened;
    const known = home.mailboxes.get(program);
    if (known !== undefined) {
      return known;
    }
    const mailbox: Mailbox = {
      calls: new Map(),
      queue: new Channel(this.options.maximumMailbox),
    };
    home.mailboxes.set(program, mailbox);
    const runner = this.runner;
    const serviceOf = (request: CallRequest): ServiceRule | undefined =>
      this.options.configuration()?.services.get(request.service);
    startProcess(
      function* runCalls() {
        for (;;) {
          const next = yield* mailbox.queue.receive();
          if (next === undefined) {
            return;
          }
          yield* settle(runner.run(next.request, state, serviceOf(next.request), next.running));
          mailbox.calls.delete(next.request.call);
        }
      },
      failure => {
        this.options.logger.error({ failure: failureText(failure), program }, 'mailbox failed');
        home.mailboxes.delete(program);
      },
    );
    return mailbox;
  }

  private async create(
    home: HomeShard,
    request: OpenProgramRequest,
    rule: ProgramRule,
  ): Promise<Result<ProgramSummary, ZincringError>> {
    const { policy, program, workspace } = request;
    const record: ProgramRecord = {
      calls: rule.calls,
      policy,
      program,
      tokens: rule.tokens,
      type: 'opened',
      workspace,
    };
    const logged = await this.append(program, home, record);
    return logged.andThen(() => {
      const state = home.programs.find(program);
      return state === undefined
        ? Err(new ZincringError('internal', { detail: 'the program was not opened' }))
        : Ok(state.summary);
    });
  }

  private async record(
    state: ProgramState,
    record: ProgramRecord,
  ): Promise<Result<void, ZincringError>> {
    const home = this.shards.get(this.shardOf(state.opened.program));
    if (home === undefined) {
      return Err(new ZincringError('shard-unavailable', { ran: 'maybe' }));
    }
    return await this.append(state.opened.program, home, record);
  }

  /** Applies a record and waits until it is durable and the lease is seen to hold after it. */
  private async append(
    program: ProgramId,
    home: HomeShard,
    record: ProgramRecord,
  ): Promise<Result<void, ZincringError>> {
    const shard = this.shardOf(program);
    home.programs.apply(record);
    const payload = encodeProgramRecord(record);
    const stored = await this.options.log.append({ epoch: home.epoch, payload, shard });
    if (stored.err || this.leases?.standing(shard) !== 'held') {
      return Err(new ZincringError('store-unavailable', { ran: 'maybe' }));
    }
    return Ok(undefined);
  }

  private find(reference: ProgramReference): Result<ProgramState, ZincringError> {
    return this.findHome(reference.program).andThen(home => {
      const state = home.programs.find(reference.program);
      return state?.opened.workspace === reference.workspace
        ? Ok(state)
        : Err(new ZincringError('program-not-found'));
    });
  }

  private findHome(program: ProgramId): Result<HomeShard, ZincringError> {
    const shard = this.shardOf(program);
    const home = this.shards.get(shard);
    return home === undefined || this.leases?.standing(shard) !== 'held'
      ? Err(new ZincringError('shard-unavailable'))
      : Ok(home);
  }

  private shardOf(program: ProgramId): ShardId {
    return shardOf(program, this.options.shardCount);
  }

  private async finishCalls(home: HomeShard): Promise<void> {
    const running = [...home.mailboxes.values()].flatMap(mailbox => [...mailbox.calls.values()]);
    await Promise.all(
      running.map(async call => {
        for await (const frame of call.follow(call.length)) {
          if (frame.kind !== 'data') {
            return;
          }
        }
      }),
    );
  }

  /** Stores a snapshot and says from where the log continues it. */
  private async reference(
    shard: ShardId,
    epoch: Epoch,
    programs: ShardPrograms,
  ): Promise<ShardStateReference> {
    const { incarnation, upcomingSequence } = this.options.log;
    const snapshot = await this.store.save(shard, epoch, upcomingSequence, programs);
    return { log: { epoch, from: upcomingSequence, incarnation }, snapshot };
  }
}

function closedOf(turn: TurnRecord, state: ProgramState): CallClosed {
  return {
    digest: turn.digest,
    isDurable: turn.turn <= state.durableTurn,
    kind: 'closed',
    turn: turn.turn,
    upstreamStatus: turn.upstreamStatus,
    usage: turn.usage,
  };
}
