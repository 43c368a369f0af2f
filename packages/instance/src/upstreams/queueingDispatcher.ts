import type { Metrics, ServiceName, TimerService, UpstreamId, WorkspaceName } from '@zincring/core';
import type { BodyDigest, PrefixChain, RetryBudget } from '@zincring/scheduling';

import { ZincringError } from '@zincring/core';
import { callCost } from '@zincring/scheduling';

import type { CallUsage } from '../programs/programMessages.js';
import type { EngineMemoryReleaser } from './engineMemoryReleaser.js';
import type { CrashProbe } from './crashProbe.js';
import type { PoisonGuard } from './poisonGuard.js';
import type { ReplicaSender } from './replicaSender.js';
import type { Replica } from './replicaTable.js';
import type { ReplicaSlot, SlotReport, ServiceQueue } from './serviceQueue.js';
import type { UpstreamDispatcher, UpstreamFrame, UpstreamWork } from './upstreamMessages.js';

import { computePromptPrefixes } from './computePromptPrefixes.js';
import { classifyUpstreamFailure, type UpstreamFailure } from './upstreamFailure.js';
import { estimateTokens, computeWorkDigest } from './workDigest.js';

/** Dependencies of a {@link QueueingDispatcher}. */
export interface QueueingDispatcherOptions {
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly sender: ReplicaSender;
  readonly crashProbe: CrashProbe;
  readonly poisonGuard: PoisonGuard;
  readonly memoryReleaser: EngineMemoryReleaser;
  /** Records tokens that were computed for a workspace. */
  readonly recordUse: (service: ServiceName, workspace: WorkspaceName, tokens: number) => void;
  /** Returns the queue of a service. */
  readonly queueOf: (service: ServiceName) => ServiceQueue;
  /** Returns the retry budget of a service. */
  readonly retryBudgetOf: (service: ServiceName) => RetryBudget;
}

/** State of a piece of work across its attempts. */
interface DispatchState {
  readonly work: UpstreamWork;
  readonly digest: BodyDigest;
  readonly prefixes: PrefixChain;
  readonly promptTokens: number;
  /** Deadline of the work on the monotonic clock, in milliseconds. */
  readonly deadline: number;
  /** Replicas that failed an attempt, in the order of the attempts. */
  readonly excluded: Set<UpstreamId>;
  /** Whether an attempt was sent; a later refusal must then not report that nothing ran. */
  mayHaveRun: boolean;
}

/** Outcome of one attempt. */
type AttemptOutcome =
  | { readonly kind: 'answered' }
  | {
      readonly kind: 'failed';
      readonly failure: UpstreamFailure;
      readonly hasData: boolean;
      readonly replica: Replica;
      /** Time for which the replica had run the work, in milliseconds. */
      readonly ranMilliseconds: number;
    }
  | { readonly kind: 'refused'; readonly error: ZincringError };

/**
 * Sends work to upstreams: waits in the queue of the service, sends the work to the chosen replica,
 * and retries at another replica if that is safe and within the retry budget.
 */
export class QueueingDispatcher implements UpstreamDispatcher {
  public constructor(private readonly options: QueueingDispatcherOptions) {}

  public async *dispatch(work: UpstreamWork): AsyncGenerator<UpstreamFrame> {
    const state = this.createState(work);
    const startedAt = this.options.timers.now();
    this.options.retryBudgetOf(work.service).recordFirstAttempt();
    for (;;) {
      const outcome = yield* this.attempt(state);
      if (outcome.kind === 'answered') {
        this.recordFinished(work, 'answered', startedAt);
        return;
      }
      const error =
        outcome.kind === 'refused'
          ? correctRan(state, outcome.error)
          : await this.decideAfterFailure(state, outcome);
      if (error !== undefined) {
        this.recordFinished(work, error.kind, startedAt);
        yield { error, kind: 'failed' };
        return;
      }
      this.options.metrics.increment('upstream.retries', 1, { service: work.service });
    }
  }

  private createState(work: UpstreamWork): DispatchState {
    const prefixes = computePromptPrefixes(work);
    return {
      deadline: this.options.timers.now() + work.timeoutMilliseconds,
      digest: computeWorkDigest(work) as BodyDigest,
      excluded: new Set(),
      mayHaveRun: false,
      prefixes,
      promptTokens: prefixes.at(-1)?.tokens ?? 0,
      work,
    };
  }

  private async *attempt(state: DispatchState): AsyncGenerator<UpstreamFrame, AttemptOutcome> {
    const { work } = state;
    const refusal = this.options.poisonGuard.findRefusal(state.digest);
    if (refusal !== undefined) {
      return { error: refusal, kind: 'refused' };
    }
    const queue = this.options.queueOf(work.service);
    const queuedAt = this.options.timers.now();
    const acquisition = await queue.acquire(createSlotRequest(state));
    const waitedMilliseconds = this.options.timers.now() - queuedAt;
    this.options.metrics.timing('queue.duration', waitedMilliseconds, { service: work.service });
    if (acquisition.err) {
      return { error: acquisition.val, kind: 'refused' };
    }
    const slot = acquisition.val;
    const preparation = await work.beforeSend();
    if (preparation.err) {
      queue.release(slot, { end: 'cancelled', usedTokens: 0 });
      return { error: preparation.val, kind: 'refused' };
    }
    if (work.program !== undefined && work.payload.protocol === 'engine') {
      this.options.memoryReleaser.recordUse(work.program, slot.replica.id);
    }
    return yield* this.send(state, queue, slot);
  }

  private async *send(
    state: DispatchState,
    queue: ServiceQueue,
    slot: ReplicaSlot,
  ): AsyncGenerator<UpstreamFrame, AttemptOutcome> {
    const { work } = state;
    const remainingMilliseconds = Math.max(1, state.deadline - this.options.timers.now());
    const limitedWork: UpstreamWork = { ...work, timeoutMilliseconds: remainingMilliseconds };
    const sentAt = this.options.timers.now();
    const responseChunks: Uint8Array[] = [];
    let report: SlotReport = { end: 'cancelled', usedTokens: 0 };
    try {
      for await (const frame of this.options.sender.send(
        slot.replica,
        limitedWork,
        slot.priority,
      )) {
        if (frame.kind === 'data') {
          responseChunks.push(frame.data);
        }
        if (frame.kind === 'done') {
          report = createSuccessReport(state, frame, responseChunks);
          this.countTokens(work.service, frame.usage);
        }
        yield frame;
      }
      return { kind: 'answered' };
    } catch (thrown) {
      const failure = classifyUpstreamFailure(thrown);
      const isCancelled = failure.stage === 'timed-out' && work.signal.aborted;
      report = { end: isCancelled ? 'cancelled' : 'failed', usedTokens: 0 };
      state.excluded.add(slot.replica.id);
      state.mayHaveRun ||= failure.stage !== 'unsent';
      return {
        failure,
        hasData: responseChunks.length > 0,
        kind: 'failed',
        ranMilliseconds: this.options.timers.now() - sentAt,
        replica: slot.replica,
      };
    } finally {
      queue.release(slot, report);
      if (report.usedTokens > 0) {
        this.options.recordUse(work.service, work.workspace, report.usedTokens);
      }
    }
  }

  /** Handles a failed attempt: returns the error that ends the work, or `undefined` to retry. */
  private async decideAfterFailure(
    state: DispatchState,
    outcome: Extract<AttemptOutcome, { kind: 'failed' }>,
  ): Promise<undefined | ZincringError> {
    const { failure, hasData, ranMilliseconds, replica } = outcome;
    const { digest, work } = state;
    if (failure.stage === 'died' && (await this.options.crashProbe.hasCrashed(replica))) {
      await this.options.poisonGuard.recordCrash(digest, replica.id, ranMilliseconds);
    }
    const isExpired = work.signal.aborted || this.options.timers.now() >= state.deadline;
    if (failure.stage === 'unsent') {
      return isExpired ? correctRan(state, failure.toZincringError()) : undefined;
    }
    if (!work.isIdempotent) {
      return new ZincringError('call-outcome-unknown', { detail: failure.message });
    }
    if (isExpired || hasData || !this.tryAcquireRetry(work.service)) {
      return failure.toZincringError();
    }
    return undefined;
  }

  private recordFinished(work: UpstreamWork, outcome: string, startedAt: number): void {
    const { metrics, timers } = this.options;
    const { service } = work;
    metrics.increment('calls.finished', 1, { outcome, service });
    metrics.timing('calls.duration', timers.now() - startedAt, { service });
  }

  private countTokens(service: ServiceName, { cachedTokens, promptTokens }: CallUsage): void {
    const { metrics } = this.options;
    metrics.increment('upstream.tokens_cached', cachedTokens, { service });
    metrics.increment('upstream.tokens_computed', promptTokens - cachedTokens, { service });
  }

  private tryAcquireRetry(service: ServiceName): boolean {
    return this.options.retryBudgetOf(service).tryAcquireRetry(this.options.timers.now());
  }
}

/** Changes `ran` of a refusal from "no" to "maybe" if an earlier attempt was sent. */
function correctRan(state: DispatchState, error: ZincringError): ZincringError {
  return state.mayHaveRun && error.ran === 'no'
    ? ZincringError.fromReport({ ...error.toReport(), ran: 'maybe' })
    : error;
}

function createSlotRequest(state: DispatchState): Parameters<ServiceQueue['acquire']>[0] {
  const { deadline, excluded, prefixes, promptTokens, work } = state;
  return {
    attainedTokens: work.attainedTokens,
    deadline,
    estimatedTokens: estimateCost(work),
    excluded,
    prefixes,
    program: work.program,
    promptTokens,
    signal: work.signal,
    workspace: work.workspace,
  };
}

/** Estimates the cost of a call with a cached history; the queue corrects it to the actual use. */
function estimateCost({ payload }: UpstreamWork): number {
  return payload.protocol === 'plain'
    ? 1
    : callCost(estimateTokens(payload.segments.at(-1) ?? ''), payload.maxTokens);
}

function createSuccessReport(
  state: DispatchState,
  { usage }: Extract<UpstreamFrame, { kind: 'done' }>,
  responseChunks: readonly Uint8Array[],
): SlotReport {
  const isEngine = state.work.payload.protocol === 'engine';
  return {
    end: 'succeeded',
    prefixes: isEngine
      ? computePromptPrefixes(state.work, Buffer.concat(responseChunks).toString('utf8'))
      : state.prefixes,
    usedTokens: Math.max(1, callCost(usage.promptTokens - usage.cachedTokens, usage.outputTokens)),
  };
}
