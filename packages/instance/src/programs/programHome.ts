import type {
  Epoch,
  Logger,
  ProgramId,
  Result,
  ShardId,
  TimerService,
  TimerSubscription,
  WorkspaceName,
} from '@zincring/core';
import type {
  ShardLease,
  ShardOwner,
  ShardStateReference,
  WriteAheadLog,
} from '@zincring/coordination';
import type { ObjectStore } from '@zincring/platform';
import type { Configuration, ProgramRule } from '@zincring/rules';

import { Err, Ok, ZincringError } from '@zincring/core';
import { shardOf } from '@zincring/coordination';

import type { GoneProgram } from '../upstreams/engineSweeper.js';
import type { UpstreamDispatcher } from '../upstreams/upstreamMessages.js';
import type { CallRules } from './callRunner.js';
import type { KeyWatch } from '../configuration/keyWatch.js';
import type { ProgramEndListener } from './programEndListener.js';
import type {
  CallClosed,
  CallFrame,
  CallRequest,
  OpenProgramRequest,
  ProgramReference,
  ProgramService,
  ProgramSummary,
} from './programMessages.js';
import type { EndReason, OpenedRecord, TurnRecord } from './programRecord.js';
import type { ProgramState } from './programState.js';

import { digestRequest } from './callPayload.js';
import { CallRunner } from './callRunner.js';
import { HomeShard } from './homeShard.js';
import { replayAnswer, RunningCall } from './runningCall.js';
import { ShardStore } from './shardStore.js';
import { openingAllowance } from './tokenBudget.js';

/** What the home of programs needs. */
export interface ProgramHomeOptions {
  readonly objects: ObjectStore;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly log: WriteAheadLog;
  readonly shardCount: number;
  readonly dispatcher: UpstreamDispatcher;
  readonly configuration: () => Configuration | undefined;
  /** Most calls of one branch of a program that wait. */
  readonly maximumMailbox: number;
  /** Records of a shard since its last snapshot after which a new one is made. */
  readonly recordsPerSnapshot?: number;
  /** Commit groups of the log after which a shard moves its place in the log on. */
  readonly groupsPerReference?: number;
  /** Hears of programs that have ended. */
  readonly endListener?: ProgramEndListener;
  /** Number of a workspace's open programs at the other instances, as far as is known. */
  readonly countElsewhere?: (workspace: WorkspaceName) => number;
  /** Tells of withdrawn keys. */
  readonly keyWatch?: Pick<KeyWatch, 'isValid' | 'onWithdrawn'>;
}

/** How often programs are looked at for their end, in milliseconds. */
const MAINTENANCE_MILLISECONDS = 1_000;
/** How long ended programs are kept to answer resends, in milliseconds. */
const TOMBSTONE_MILLISECONDS = 10 * 60 * 1_000;

/** The programs whose shards this instance holds. */
export class ProgramHome implements ProgramService, ShardOwner {
  private readonly shards = new Map<ShardId, HomeShard>();
  private readonly store: ShardStore;
  private readonly runner: CallRunner;
  private maintenance: TimerSubscription | undefined;

  public constructor(private readonly options: ProgramHomeOptions) {
    this.store = new ShardStore(options.objects, options.timers);
    this.runner = new CallRunner(options);
  }

  /** Begins to end programs that are idle or too old, and to move snapshots on. */
  public start(): void {
    this.maintenance ??= this.options.timers.every(MAINTENANCE_MILLISECONDS, () => {
      this.maintain();
    });
  }

  /** Stops what {@link ProgramHome.start} began. */
  public stop(): void {
    this.maintenance?.stop();
    this.maintenance = undefined;
  }

  /** Number of programs held. */
  public get programCount(): number {
    return [...this.shards.values()].reduce((sum, shard) => sum + shard.programs.size, 0);
  }

  /** Number of a workspace's programs held here that have not ended. */
  public countOpen(workspace: WorkspaceName): number {
    return [...this.shards.values()].reduce(
      (sum, shard) => sum + shard.programs.countOpen(workspace),
      0,
    );
  }

  /** Number of programs held here that have not ended, by workspace. */
  public countOpenByWorkspace(): ReadonlyMap<WorkspaceName, number> {
    const counts = new Map<WorkspaceName, number>();
    for (const shard of this.shards.values()) {
      for (const { hasEnded, opened } of shard.programs.all()) {
        if (!hasEnded) {
          counts.set(opened.workspace, (counts.get(opened.workspace) ?? 0) + 1);
        }
      }
    }
    return counts;
  }

  /** The state of a program that is held here, whatever its workspace, for operators. */
  public inspect(program: ProgramId): ProgramState | undefined {
    return this.shards.get(this.shardOf(program))?.programs.find(program);
  }

  public async recover(
    lease: ShardLease,
    state: ShardStateReference,
  ): Promise<ShardStateReference> {
    const programs = await this.store.load(lease.shard, state);
    programs.startUnderNewHolder();
    const home = new HomeShard({ ...this.options, lease, programs, store: this.store });
    const reference = await home.createReference(false);
    if (lease.status === 'recovering') {
      this.shards.set(lease.shard, home);
    }
    return reference;
  }

  public async handOver(lease: ShardLease): Promise<ShardStateReference> {
    const home = this.shards.get(lease.shard);
    if (home?.lease !== lease) {
      throw new Error(`shard ${lease.shard} has no state`);
    }
    return await home.close();
  }

  public drop(lease: ShardLease): void {
    const home = this.shards.get(lease.shard);
    if (home?.lease === lease) {
      home.drop();
      this.shards.delete(lease.shard);
    }
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
    const refusal = this.findOpenRefusal(home.val, request);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    const known = home.val.programs.find(request.program);
    if (known?.isOpeningDurable === true) {
      return Ok(known.summary);
    }
    const written = home.val.write(createOpenedRecord(request, rule));
    if (written.err) {
      return written;
    }
    const outcome = await home.val.settle(written.val);
    const state = home.val.programs.find(request.program);
    if (outcome !== 'durable' || state === undefined) {
      return Err(new ZincringError('store-unavailable', { ran: 'maybe' }));
    }
    return Ok(state.summary);
  }

  public async describe(
    reference: ProgramReference,
  ): Promise<Result<ProgramSummary, ZincringError>> {
    const found = this.find(reference);
    return await Promise.resolve(found.map(({ state }) => state.summary));
  }

  public async end(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>> {
    const found = this.find(reference);
    if (found.err) {
      return found;
    }
    const { home, state } = found.val;
    const ended = await this.endProgram(home, state, 'asked');
    return ended.map(() => state.summary);
  }

  /** Those of the programs that have ended or never were; only the holder of a shard can tell. */
  public findGone(programs: readonly ProgramId[]): readonly GoneProgram[] {
    return programs.flatMap(program => {
      const home = this.shards.get(this.shardOf(program));
      if (home?.standing !== 'held') {
        return [];
      }
      const state = home.programs.find(program);
      const fence: Epoch = home.lease.epoch;
      return state === undefined || state.hasEnded ? [{ fence, program }] : [];
    });
  }

  public async *call(request: CallRequest): AsyncGenerator<CallFrame> {
    const found = this.find(request);
    if (found.err) {
      yield { error: found.val, kind: 'failed' };
      return;
    }
    const { home, state } = found.val;
    const requestDigest = digestRequest(request);
    const running = home.mailboxes.find(request.program, request.call);
    const known = state.findCall(request.call);
    const earlierDigest =
      running?.requestDigest ??
      (known.status === 'done' ? known.turn.requestDigest : undefined) ??
      (known.status === 'intended' ? known.requestDigest : undefined);
    if (earlierDigest !== undefined && earlierDigest !== requestDigest) {
      const detail = 'the call id stands for another request';
      yield { error: new ZincringError('bad-request', { detail }), kind: 'failed' };
      return;
    }
    if (running !== undefined && !running.isOver) {
      yield* running.follow(request.fromOffset);
      return;
    }
    if (known.status === 'done') {
      yield* replayAnswer(known.turn.answer, request.fromOffset, closedOf(known.turn, state));
      return;
    }
    const started = this.startCall(request, requestDigest, home, state);
    if (started.err) {
      yield { error: started.val, kind: 'failed' };
      return;
    }
    yield* started.val.follow(request.fromOffset);
  }

  private startCall(
    request: CallRequest,
    requestDigest: string,
    home: HomeShard,
    state: ProgramState,
  ): Result<RunningCall, ZincringError> {
    if (state.findCall(request.call).status === 'intended') {
      return Err(new ZincringError('call-outcome-unknown'));
    }
    const resume = state.branch(request.parentCall ?? null).resumePoint;
    if (home.mailboxes.find(request.program, request.call) !== undefined) {
      // The call was given up, but what was sent for it has not come to its end yet.
      return Err(new ZincringError('call-interrupted', { resume }));
    }
    if (request.isAttachOnly) {
      return Err(new ZincringError('call-interrupted', { resume }));
    }
    if (home.isClosing) {
      return Err(new ZincringError('shard-unavailable'));
    }
    const running = new RunningCall(request, requestDigest);
    home.programs.touch(state);
    const queued = home.mailboxes.enqueue(running, async next =>
      this.runner.run(next, home, state, this.rulesFor(next.request, state)),
    );
    if (queued.ok) {
      this.endOnWithdrawal(running);
    }
    return queued.map(() => running);
  }

  /**
   * Ends a call whose key is withdrawn while it waits or runs. A key that this instance does not
   * know yet is left to the entry, which has checked it against a newer configuration.
   */
  private endOnWithdrawal(running: RunningCall): void {
    const { keyWatch } = this.options;
    const { keyHash } = running.request;
    if (keyWatch?.isValid(keyHash) !== true) {
      return;
    }
    const watch = keyWatch.onWithdrawn(keyHash, () => {
      running.withdraw();
    });
    void running.ended().then(() => {
      watch.stop();
    });
  }

  private rulesFor(request: CallRequest, state: ProgramState): CallRules {
    const configuration = this.options.configuration();
    return {
      program: configuration?.programs.get(state.opened.policy),
      service: configuration?.services.get(request.service),
    };
  }

  private findOpenRefusal(home: HomeShard, request: OpenProgramRequest): ZincringError | undefined {
    if (home.isClosing || home.standing !== 'held') {
      return new ZincringError('shard-unavailable');
    }
    if (home.isStoreFailing) {
      return new ZincringError('store-unavailable', { ran: 'no' });
    }
    const known = home.programs.find(request.program);
    if (known !== undefined) {
      return known.opened.workspace === request.workspace
        ? undefined
        : new ZincringError('program-not-found');
    }
    const limit = this.options.configuration()?.workspaces.get(request.workspace)?.programs;
    const open =
      this.countOpen(request.workspace) + (this.options.countElsewhere?.(request.workspace) ?? 0);
    return limit !== undefined && open >= limit
      ? new ZincringError('program-limit-reached')
      : undefined;
  }

  private async endProgram(
    home: HomeShard,
    state: ProgramState,
    reason: EndReason,
  ): Promise<Result<void, ZincringError>> {
    const { program } = state;
    if (!state.hasEnded && home.isClosing) {
      return Err(new ZincringError('shard-unavailable'));
    }
    const ended = await home.writeDurably({ program, reason, type: 'ended' });
    if (ended.ok) {
      this.options.endListener?.onProgramEnd(program, home.lease.epoch);
    }
    return ended;
  }

  private maintain(): void {
    for (const home of this.shards.values()) {
      if (home.standing !== 'held' || home.isClosing || home.isStoreFailing) {
        continue;
      }
      for (const state of home.programs.all()) {
        this.maintainProgram(home, state);
      }
      home.maintain();
    }
  }

  private maintainProgram(home: HomeShard, state: ProgramState): void {
    const { opened, program } = state;
    if (state.hasEnded) {
      if (home.programs.endedTimeOf(state) >= TOMBSTONE_MILLISECONDS) {
        home.write({ program, type: 'forgotten' });
      }
      return;
    }
    const isOld = home.programs.ageOf(state) >= opened.lifetimeMilliseconds;
    const isIdle =
      home.programs.idleTimeOf(state) >= opened.idleMilliseconds && !home.mailboxes.isBusy(program);
    if (isOld || isIdle) {
      void this.endProgram(home, state, isOld ? 'lifetime' : 'idle');
    }
  }

  private find(
    reference: ProgramReference,
  ): Result<{ readonly home: HomeShard; readonly state: ProgramState }, ZincringError> {
    return this.findHome(reference.program).andThen(home => {
      const state = home.programs.find(reference.program);
      return state?.opened.workspace === reference.workspace
        ? Ok({ home, state })
        : Err(new ZincringError('program-not-found'));
    });
  }

  private findHome(program: ProgramId): Result<HomeShard, ZincringError> {
    const home = this.shards.get(this.shardOf(program));
    const standing = home?.standing ?? 'none';
    return home === undefined || standing === 'none' || standing === 'recovering'
      ? Err(new ZincringError('shard-unavailable'))
      : Ok(home);
  }

  private shardOf(program: ProgramId): ShardId {
    return shardOf(program, this.options.shardCount);
  }
}

function createOpenedRecord(request: OpenProgramRequest, rule: ProgramRule): OpenedRecord {
  const lifetimeMilliseconds = rule.lifetimeSeconds * 1_000;
  return {
    allowance: openingAllowance(rule.tokens),
    calls: rule.calls,
    idleMilliseconds: rule.idleSeconds * 1_000,
    lifetimeMilliseconds: Math.min(
      lifetimeMilliseconds,
      request.deadlineMilliseconds ?? lifetimeMilliseconds,
    ),
    policy: request.policy,
    program: request.program,
    tokens: rule.tokens,
    type: 'opened',
    workspace: request.workspace,
  };
}

function closedOf(turn: TurnRecord, state: ProgramState): CallClosed {
  return {
    digest: turn.digest,
    isDurable: turn.turn <= state.branch(turn.parentCall).durableTurn,
    kind: 'closed',
    turn: turn.turn,
    upstreamStatus: turn.upstreamStatus,
    usage: turn.usage,
  };
}
