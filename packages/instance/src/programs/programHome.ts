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
import { replayResponse, RunningCall } from './runningCall.js';
import { ShardStore } from './shardStore.js';
import { computeOpeningAllowance } from './tokenBudget.js';

/** Options of a {@link ProgramHome}. */
export interface ProgramHomeOptions {
  readonly objects: ObjectStore;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly log: WriteAheadLog;
  readonly shardCount: number;
  readonly dispatcher: UpstreamDispatcher;
  readonly configuration: () => Configuration | undefined;
  /** Maximum number of waiting calls of one branch of a program. */
  readonly maximumMailbox: number;
  /** Number of records of a shard since its last snapshot after which a new one is stored. */
  readonly recordsPerSnapshot?: number;
  /**
   * Number of commit groups of the log after which the start of a shard's replay is moved forward.
   */
  readonly groupsPerReference?: number;
  /** Notified when a program has ended. */
  readonly endListener?: ProgramEndListener;
  /** Counts the open programs of a workspace at the other instances, as last announced by them. */
  readonly countElsewhere?: (workspace: WorkspaceName) => number;
  /** Source of key withdrawals; a withdrawal ends the calls that the key authenticated. */
  readonly keyWatch?: Pick<KeyWatch, 'isValid' | 'onWithdrawn'>;
}

/** Interval at which programs are checked for their end and snapshots for being due. */
const MAINTENANCE_INTERVAL_MILLISECONDS = 1_000;
/** Time for which ended programs are kept so that resends of their calls can be answered. */
const ENDED_PROGRAM_RETENTION_MILLISECONDS = 10 * 60 * 1_000;

/** Serves the programs whose shards this instance holds. */
export class ProgramHome implements ProgramService, ShardOwner {
  private readonly shards = new Map<ShardId, HomeShard>();
  private readonly store: ShardStore;
  private readonly runner: CallRunner;
  private maintenanceTimer: TimerSubscription | undefined;

  public constructor(private readonly options: ProgramHomeOptions) {
    this.store = new ShardStore(options.objects, options.timers);
    this.runner = new CallRunner(options);
  }

  /** Starts the periodic maintenance: ends idle and expired programs and stores snapshots. */
  public start(): void {
    this.maintenanceTimer ??= this.options.timers.every(MAINTENANCE_INTERVAL_MILLISECONDS, () => {
      this.maintain();
    });
  }

  /** Stops the periodic maintenance. */
  public stop(): void {
    this.maintenanceTimer?.stop();
    this.maintenanceTimer = undefined;
  }

  /** Number of programs held here, including ended ones that are still kept. */
  public get programCount(): number {
    return [...this.shards.values()].reduce((sum, shard) => sum + shard.programs.size, 0);
  }

  /** Counts a workspace's programs held here that have not ended. */
  public countOpen(workspace: WorkspaceName): number {
    return [...this.shards.values()].reduce(
      (sum, shard) => sum + shard.programs.countOpen(workspace),
      0,
    );
  }

  /** Counts the programs held here that have not ended, by workspace. */
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

  /** Finds the state of a program held here, regardless of its workspace; for operators. */
  public findProgramState(program: ProgramId): ProgramState | undefined {
    return this.shards.get(this.shardOf(program))?.programs.find(program);
  }

  public async recover(
    lease: ShardLease,
    state: ShardStateReference,
  ): Promise<ShardStateReference> {
    const programs = await this.store.load(lease.shard, state);
    programs.startUnderNewHolder();
    const homeShard = new HomeShard({ ...this.options, lease, programs, store: this.store });
    const reference = await homeShard.saveSnapshot(false);
    if (lease.status === 'recovering') {
      this.shards.set(lease.shard, homeShard);
    }
    return reference;
  }

  public async handOver(lease: ShardLease): Promise<ShardStateReference> {
    const homeShard = this.shards.get(lease.shard);
    if (homeShard?.lease !== lease) {
      throw new Error(`shard ${lease.shard} is not held under the lease to hand over`);
    }
    return await homeShard.close();
  }

  public drop(lease: ShardLease): void {
    const homeShard = this.shards.get(lease.shard);
    if (homeShard?.lease === lease) {
      homeShard.drop();
      this.shards.delete(lease.shard);
    }
  }

  public async open(request: OpenProgramRequest): Promise<Result<ProgramSummary, ZincringError>> {
    const rule = this.options.configuration()?.programs.get(request.policy);
    if (rule === undefined) {
      return Err(new ZincringError('bad-request', { detail: 'there is no such policy' }));
    }
    const homeShard = this.findHomeShard(request.program);
    if (homeShard.err) {
      return homeShard;
    }
    const refusal = this.findOpenRefusal(homeShard.val, request);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    const knownState = homeShard.val.programs.find(request.program);
    if (knownState?.isOpeningDurable === true) {
      return Ok(knownState.summary);
    }
    const written = homeShard.val.write(createOpenedRecord(request, rule));
    if (written.err) {
      return written;
    }
    const outcome = await homeShard.val.waitForOutcome(written.val);
    const state = homeShard.val.programs.find(request.program);
    if (outcome !== 'durable' || state === undefined) {
      return Err(new ZincringError('store-unavailable', { ran: 'maybe' }));
    }
    return Ok(state.summary);
  }

  public async describe(
    reference: ProgramReference,
  ): Promise<Result<ProgramSummary, ZincringError>> {
    const found = this.findProgram(reference);
    return await Promise.resolve(found.map(({ state }) => state.summary));
  }

  public async end(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>> {
    const found = this.findProgram(reference);
    if (found.err) {
      return found;
    }
    const { homeShard, state } = found.val;
    const endResult = await this.endProgram(homeShard, state, 'asked');
    return endResult.map(() => state.summary);
  }

  /**
   * Finds those of the programs that have ended or are unknown. Programs of shards that this
   * instance does not hold are left out, since only the holder of a shard knows its programs.
   */
  public findGone(programs: readonly ProgramId[]): readonly GoneProgram[] {
    return programs.flatMap(program => {
      const homeShard = this.shards.get(this.shardOf(program));
      if (homeShard?.leaseStatus !== 'held') {
        return [];
      }
      const state = homeShard.programs.find(program);
      const fence: Epoch = homeShard.lease.epoch;
      return state === undefined || state.hasEnded ? [{ fence, program }] : [];
    });
  }

  public async *call(request: CallRequest): AsyncGenerator<CallFrame> {
    const found = this.findProgram(request);
    if (found.err) {
      yield { error: found.val, kind: 'failed' };
      return;
    }
    const { homeShard, state } = found.val;
    const requestDigest = digestRequest(request);
    const runningCall = homeShard.mailboxes.findCall(request.program, request.call);
    const knownCall = state.findCall(request.call);
    const earlierDigest =
      runningCall?.requestDigest ??
      (knownCall.status === 'done' ? knownCall.turn.requestDigest : undefined) ??
      (knownCall.status === 'intended' ? knownCall.requestDigest : undefined);
    if (earlierDigest !== undefined && earlierDigest !== requestDigest) {
      const detail = 'the call id stands for another request';
      yield { error: new ZincringError('bad-request', { detail }), kind: 'failed' };
      return;
    }
    if (runningCall !== undefined && !runningCall.isFinished) {
      yield* runningCall.follow(request.fromOffset);
      return;
    }
    if (knownCall.status === 'done') {
      yield* replayResponse(
        knownCall.turn.answer,
        request.fromOffset,
        createClosedFrame(knownCall.turn, state),
      );
      return;
    }
    const startResult = this.startCall(request, requestDigest, homeShard, state);
    if (startResult.err) {
      yield { error: startResult.val, kind: 'failed' };
      return;
    }
    yield* startResult.val.follow(request.fromOffset);
  }

  private startCall(
    request: CallRequest,
    requestDigest: string,
    homeShard: HomeShard,
    state: ProgramState,
  ): Result<RunningCall, ZincringError> {
    if (state.findCall(request.call).status === 'intended') {
      return Err(new ZincringError('call-outcome-unknown'));
    }
    const resume = state.getBranch(request.parentCall ?? null).resumePoint;
    if (homeShard.mailboxes.findCall(request.program, request.call) !== undefined) {
      // The call was aborted, but its request to the upstream has not finished yet.
      return Err(new ZincringError('call-interrupted', { resume }));
    }
    if (request.isAttachOnly) {
      return Err(new ZincringError('call-interrupted', { resume }));
    }
    if (homeShard.isClosing) {
      return Err(new ZincringError('shard-unavailable'));
    }
    const runningCall = new RunningCall(request, requestDigest);
    homeShard.programs.recordUse(state);
    const enqueueResult = homeShard.mailboxes.enqueue(runningCall, async dequeuedCall =>
      this.runner.run(dequeuedCall, homeShard, state, this.findRules(dequeuedCall.request, state)),
    );
    if (enqueueResult.ok) {
      this.endCallOnKeyWithdrawal(runningCall);
    }
    return enqueueResult.map(() => runningCall);
  }

  /**
   * Ends a call whose key is withdrawn while the call is queued or running. A key that this
   * instance does not know yet is not watched: the instance that received the request has checked
   * it against a newer configuration and watches it.
   */
  private endCallOnKeyWithdrawal(runningCall: RunningCall): void {
    const { keyWatch } = this.options;
    const { keyHash } = runningCall.request;
    if (keyWatch?.isValid(keyHash) !== true) {
      return;
    }
    const subscription = keyWatch.onWithdrawn(keyHash, () => {
      runningCall.endOnKeyWithdrawal();
    });
    void runningCall.waitForEnd().then(() => {
      subscription.stop();
    });
  }

  private findRules(request: CallRequest, state: ProgramState): CallRules {
    const configuration = this.options.configuration();
    return {
      program: configuration?.programs.get(state.opened.policy),
      service: configuration?.services.get(request.service),
    };
  }

  private findOpenRefusal(
    homeShard: HomeShard,
    request: OpenProgramRequest,
  ): ZincringError | undefined {
    if (homeShard.isClosing || homeShard.leaseStatus !== 'held') {
      return new ZincringError('shard-unavailable');
    }
    if (homeShard.isStoreFailing) {
      return new ZincringError('store-unavailable', { ran: 'no' });
    }
    const knownState = homeShard.programs.find(request.program);
    if (knownState !== undefined) {
      return knownState.opened.workspace === request.workspace
        ? undefined
        : new ZincringError('program-not-found');
    }
    const limit = this.options.configuration()?.workspaces.get(request.workspace)?.programs;
    const openCount =
      this.countOpen(request.workspace) + (this.options.countElsewhere?.(request.workspace) ?? 0);
    return limit !== undefined && openCount >= limit
      ? new ZincringError('program-limit-reached')
      : undefined;
  }

  private async endProgram(
    homeShard: HomeShard,
    state: ProgramState,
    reason: EndReason,
  ): Promise<Result<void, ZincringError>> {
    const { program } = state;
    if (!state.hasEnded && homeShard.isClosing) {
      return Err(new ZincringError('shard-unavailable'));
    }
    const endResult = await homeShard.writeDurably({ program, reason, type: 'ended' });
    if (endResult.ok) {
      this.options.endListener?.onProgramEnd(program, homeShard.lease.epoch);
    }
    return endResult;
  }

  private maintain(): void {
    for (const homeShard of this.shards.values()) {
      if (homeShard.leaseStatus !== 'held' || homeShard.isClosing || homeShard.isStoreFailing) {
        continue;
      }
      for (const state of homeShard.programs.all()) {
        this.maintainProgram(homeShard, state);
      }
      homeShard.maintain();
    }
  }

  private maintainProgram(homeShard: HomeShard, state: ProgramState): void {
    const { opened, program } = state;
    if (state.hasEnded) {
      if (
        homeShard.programs.getMillisecondsSinceEnd(state) >= ENDED_PROGRAM_RETENTION_MILLISECONDS
      ) {
        homeShard.write({ program, type: 'forgotten' });
      }
      return;
    }
    const isLifetimeOver =
      homeShard.programs.getAgeMilliseconds(state) >= opened.lifetimeMilliseconds;
    const isIdle =
      homeShard.programs.getIdleMilliseconds(state) >= opened.idleMilliseconds &&
      !homeShard.mailboxes.isBusy(program);
    if (isLifetimeOver || isIdle) {
      void this.endProgram(homeShard, state, isLifetimeOver ? 'lifetime' : 'idle');
    }
  }

  private findProgram(
    reference: ProgramReference,
  ): Result<{ readonly homeShard: HomeShard; readonly state: ProgramState }, ZincringError> {
    return this.findHomeShard(reference.program).andThen(homeShard => {
      const state = homeShard.programs.find(reference.program);
      return state?.opened.workspace === reference.workspace
        ? Ok({ homeShard, state })
        : Err(new ZincringError('program-not-found'));
    });
  }

  private findHomeShard(program: ProgramId): Result<HomeShard, ZincringError> {
    const homeShard = this.shards.get(this.shardOf(program));
    const leaseStatus = homeShard?.leaseStatus ?? 'none';
    return homeShard === undefined || leaseStatus === 'none' || leaseStatus === 'recovering'
      ? Err(new ZincringError('shard-unavailable'))
      : Ok(homeShard);
  }

  private shardOf(program: ProgramId): ShardId {
    return shardOf(program, this.options.shardCount);
  }
}

function createOpenedRecord(request: OpenProgramRequest, rule: ProgramRule): OpenedRecord {
  const lifetimeMilliseconds = rule.lifetimeSeconds * 1_000;
  return {
    allowance: computeOpeningAllowance(rule.tokens),
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

function createClosedFrame(turn: TurnRecord, state: ProgramState): CallClosed {
  return {
    digest: turn.digest,
    isDurable: turn.turn <= state.getBranch(turn.parentCall).durableTurn,
    kind: 'closed',
    turn: turn.turn,
    upstreamStatus: turn.upstreamStatus,
    usage: turn.usage,
  };
}
