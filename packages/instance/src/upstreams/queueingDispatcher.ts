import type { Metrics, ServiceName, TimerService, UpstreamId, WorkspaceName } from '@zincring/core';
import type { BodyDigest, PrefixChain, RetryBudget } from '@zincring/scheduling';

import { ZincringError } from '@zincring/core';
import { callCost } from '@zincring/scheduling';

import type { CallUsage } from '../programs/programMessages.js';
import type { EngineMemory } from './engineMemory.js';
import type { PoisonGuard } from './poisonGuard.js';
import type { ReplicaSender } from './replicaSender.js';
import type { LanePlace, PlaceEnd, ServiceLane } from './serviceLane.js';
import type { UpstreamDispatcher, UpstreamFrame, UpstreamWork } from './upstreamMessages.js';

import { promptPrefixes } from './promptPrefixes.js';
import { classifyUpstreamFailure, type UpstreamFailure } from './upstreamFailure.js';
import { estimateTokens, workDigest } from './workDigest.js';

/** What dispatching needs. */
export interface QueueingDispatcherOptions {
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly sender: ReplicaSender;
  readonly guard: PoisonGuard;
  readonly memory: EngineMemory;
  /** Counts tokens that were computed for a workspace. */
  readonly countUse: (service: ServiceName, workspace: WorkspaceName, tokens: number) => void;
  /** The lane of a service. */
  readonly laneOf: (service: ServiceName) => ServiceLane;
  /** The retry budget of a service. */
  readonly retryBudgetOf: (service: ServiceName) => RetryBudget;
}

/** Work on its way through attempts. */
interface Attempts {
  readonly work: UpstreamWork;
  readonly digest: BodyDigest;
  readonly prefixes: PrefixChain;
  readonly promptTokens: number;
  readonly deadline: number;
  readonly excluded: Set<UpstreamId>;
  /** Whether an attempt was sent, so that a later refusal must not say "not run". */
  mayHaveRun: boolean;
}

/** How one attempt ended. */
type AttemptEnd =
  | { readonly kind: 'answered' }
  | { readonly kind: 'failed'; readonly failure: UpstreamFailure; readonly hasData: boolean }
  | { readonly kind: 'refused'; readonly error: ZincringError };

/**
 * Sends work to upstreams: waits in the lane of the service, sends to the replica chosen, and
 * tries another one where that is safe and within the retry budget.
 */
export class QueueingDispatcher implements UpstreamDispatcher {
  public constructor(private readonly options: QueueingDispatcherOptions) {}

  public async *dispatch(work: UpstreamWork): AsyncGenerator<UpstreamFrame> {
    const attempts = this.begin(work);
    const startedAt = this.options.timers.now();
    this.options.retryBudgetOf(work.service).recordFirstAttempt();
    for (;;) {
      const end = yield* this.attempt(attempts);
      if (end.kind === 'answered') {
        this.noteFinished(work, 'answered', startedAt);
        return;
      }
      const error =
        end.kind === 'refused' ? truthful(attempts, end.error) : await this.judge(attempts, end);
      if (error !== undefined) {
        this.noteFinished(work, error.kind, startedAt);
        yield { error, kind: 'failed' };
        return;
      }
      this.options.metrics.increment('upstream.retries', 1, { service: work.service });
    }
  }

  private begin(work: UpstreamWork): Attempts {
    const prefixes = promptPrefixes(work);
    return {
      deadline: this.options.timers.now() + work.timeoutMilliseconds,
      digest: workDigest(work) as BodyDigest,
      excluded: new Set(),
      mayHaveRun: false,
      prefixes,
      promptTokens: prefixes.at(-1)?.tokens ?? 0,
      work,
    };
  }

  private async *attempt(attempts: Attempts): AsyncGenerator<UpstreamFrame, AttemptEnd> {
    const { work } = attempts;
    const poison = this.options.guard.findRefusal(attempts.digest);
    if (poison !== undefined) {
      return { error: poison, kind: 'refused' };
    }
    const lane = this.options.laneOf(work.service);
    const queuedAt = this.options.timers.now();
    const acquired = await lane.acquire(createLaneRequest(attempts));
    const waited = this.options.timers.now() - queuedAt;
    this.options.metrics.timing('queue.duration', waited, { service: work.service });
    if (acquired.err) {
      return { error: acquired.val, kind: 'refused' };
    }
    const place = acquired.val;
    const prepared = await work.beforeSend();
    if (prepared.err) {
      lane.release(place, { end: 'cancelled', usedTokens: 0 });
      return { error: prepared.val, kind: 'refused' };
    }
    if (work.program !== undefined && work.payload.protocol === 'engine') {
      this.options.memory.noteUse(work.program, place.replica.id);
    }
    return yield* this.send(attempts, lane, place);
  }

  private async *send(
    attempts: Attempts,
    lane: ServiceLane,
    place: LanePlace,
  ): AsyncGenerator<UpstreamFrame, AttemptEnd> {
    const { work } = attempts;
    const remaining = Math.max(1, attempts.deadline - this.options.timers.now());
    const limited: UpstreamWork = { ...work, timeoutMilliseconds: remaining };
    const answer: Uint8Array[] = [];
    let end: PlaceEnd = { end: 'cancelled', usedTokens: 0 };
    try {
      for await (const frame of this.options.sender.send(place.replica, limited, place.priority)) {
        if (frame.kind === 'data') {
          answer.push(frame.data);
        }
        if (frame.kind === 'done') {
          end = succeeded(attempts, frame, answer);
          this.countTokens(work.service, frame.usage);
        }
        yield frame;
      }
      return { kind: 'answered' };
    } catch (thrown) {
      const failure = classifyUpstreamFailure(thrown);
      const isGivenUp = failure.stage === 'timed-out' && work.signal.aborted;
      end = { end: isGivenUp ? 'cancelled' : 'failed', usedTokens: 0 };
      attempts.excluded.add(place.replica.id);
      attempts.mayHaveRun ||= failure.stage !== 'unsent';
      return { failure, hasData: answer.length > 0, kind: 'failed' };
    } finally {
      lane.release(place, end);
      if (end.usedTokens > 0) {
        this.options.countUse(work.service, work.workspace, end.usedTokens);
      }
    }
  }

  /** Decides after a failed attempt; `undefined` when the work may be sent again. */
  private async judge(
    attempts: Attempts,
    end: Extract<AttemptEnd, { kind: 'failed' }>,
  ): Promise<undefined | ZincringError> {
    const { failure, hasData } = end;
    const { digest, work } = attempts;
    if (failure.stage === 'died') {
      const died = [...attempts.excluded].at(-1);
      if (died !== undefined) {
        await this.options.guard.noteDeath(digest, died);
      }
    }
    const isOver = work.signal.aborted || this.options.timers.now() >= attempts.deadline;
    if (failure.stage === 'unsent') {
      return isOver ? truthful(attempts, failure.toZincringError()) : undefined;
    }
    if (!work.isIdempotent) {
      return new ZincringError('call-outcome-unknown', { detail: failure.message });
    }
    if (isOver || hasData || !this.mayRetry(work.service)) {
      return failure.toZincringError();
    }
    return undefined;
  }

  private noteFinished(work: UpstreamWork, outcome: string, startedAt: number): void {
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

  private mayRetry(service: ServiceName): boolean {
    return this.options.retryBudgetOf(service).tryAcquireRetry(this.options.timers.now());
  }
}

/** A refusal after an attempt that was sent cannot say that nothing has run. */
function truthful(attempts: Attempts, error: ZincringError): ZincringError {
  return attempts.mayHaveRun && error.ran === 'no'
    ? ZincringError.fromReport({ ...error.toReport(), ran: 'maybe' })
    : error;
}

function createLaneRequest(attempts: Attempts): Parameters<ServiceLane['acquire']>[0] {
  const { deadline, excluded, prefixes, promptTokens, work } = attempts;
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

/** Cost of a call whose history is cached; the queue settles it by what the call has used. */
function estimateCost({ payload }: UpstreamWork): number {
  return payload.protocol === 'plain'
    ? 1
    : callCost(estimateTokens(payload.segments.at(-1) ?? ''), payload.maxTokens);
}

function succeeded(
  attempts: Attempts,
  { usage }: Extract<UpstreamFrame, { kind: 'done' }>,
  answer: readonly Uint8Array[],
): PlaceEnd {
  const isEngine = attempts.work.payload.protocol === 'engine';
  return {
    end: 'succeeded',
    prefixes: isEngine
      ? promptPrefixes(attempts.work, Buffer.concat(answer).toString('utf8'))
      : attempts.prefixes,
    usedTokens: Math.max(1, callCost(usage.promptTokens - usage.cachedTokens, usage.outputTokens)),
  };
}
