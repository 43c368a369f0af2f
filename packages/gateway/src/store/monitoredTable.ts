import type { Result, TimerService } from '@zincring/core';
import type {
  ChangesResponse,
  ChangesRequest,
  PartitionedOutcome,
  PartitionedTable,
  PartitionedTransaction,
  RangePage,
  RangeRequest,
} from '@zincring/platform';

import { Err } from '@zincring/core';
import { PlatformError } from '@zincring/platform';

import { CallThrottle } from './callThrottle.js';

/** Kind of a store call. */
export type StoreCallKind = 'changes' | 'read' | 'transact';

/** Outcome of a store call: a conflict is an answer that changed nothing. */
export type StoreCallOutcome = 'answered' | 'conflict' | 'failed' | 'rate-limited';

/** A completed store call. */
export interface StoreCall {
  readonly kind: StoreCallKind;
  readonly table: string;
  readonly outcome: StoreCallOutcome;
  readonly milliseconds: number;
}

/** Called with each completed store call, for the metrics. */
export type StoreCallListener = (call: StoreCall) => void;

/** Consecutive failures after which the store may count as unavailable. */
const FAILURES_UNTIL_UNAVAILABLE = 2;
/** Time without an answer after which the store may count as unavailable: much longer than its usual response time. */
const SILENCE_UNTIL_UNAVAILABLE_MILLISECONDS = 250;

/** Retry delay for callers while this instance cannot reach the store: short, since another instance may reach it. */
const UNAVAILABLE_RETRY_SECONDS = 0.1;
/** Retry delay for callers while the store is slow or over its rate: longer, since all instances are affected. */
const OVERLOADED_RETRY_SECONDS = 0.4;

/**
 * Wraps the store and tracks whether it answers, so that requests that need it are refused
 * immediately instead of waiting for a timeout.
 *
 * @example
 * const table = new MonitoredTable(store, timers);
 * if (table.isUnavailable) { return refusal; }
 */
export class MonitoredTable implements PartitionedTable {
  private consecutiveFailures = 0;
  private lastAnswerAt: number;
  private readonly throttles: Readonly<Record<'read' | 'transact', CallThrottle>>;
  /**
   * The same store for calls that are never held back: those that complete work that was already
   * done, and those on which the instance as a whole depends.
   */
  public readonly essential: PartitionedTable = {
    changes: async request => await this.changes(request),
    read: async request => await this.sendRead(request),
    transact: async transaction => await this.sendTransaction(transaction),
  };

  public constructor(
    private readonly inner: PartitionedTable,
    private readonly timers: TimerService,
    private readonly onCall: StoreCallListener = () => undefined,
    private readonly random: () => number = Math.random,
  ) {
    this.lastAnswerAt = timers.now();
    this.throttles = { read: new CallThrottle(timers), transact: new CallThrottle(timers) };
  }

  /** Whether recent calls failed and the store has not answered for some time. */
  public get isUnavailable(): boolean {
    return (
      this.consecutiveFailures >= FAILURES_UNTIL_UNAVAILABLE &&
      this.timers.now() - this.lastAnswerAt >= SILENCE_UNTIL_UNAVAILABLE_MILLISECONDS
    );
  }

  /** Time since the last answer of the store, in milliseconds. */
  public millisecondsSinceAnswer(): number {
    return this.timers.now() - this.lastAnswerAt;
  }

  /** Retry delay for a caller whose request failed because the store did not answer, in seconds. */
  public get retryAfterSeconds(): number {
    return this.isUnavailable ? UNAVAILABLE_RETRY_SECONDS : OVERLOADED_RETRY_SECONDS;
  }

  public async read(request: RangeRequest): Promise<Result<RangePage, PlatformError>> {
    if (!this.throttles.read.allowsCall(this.random())) {
      return Err(createHeldBackError());
    }
    return await this.sendRead(request);
  }

  public async changes(request: ChangesRequest): Promise<Result<ChangesResponse, PlatformError>> {
    return await this.observeCall('changes', request.table, this.inner.changes(request));
  }

  public async transact(
    transaction: PartitionedTransaction,
  ): Promise<Result<PartitionedOutcome, PlatformError>> {
    if (!this.throttles.transact.allowsCall(this.random())) {
      return Err(createHeldBackError());
    }
    return await this.sendTransaction(transaction);
  }

  private async sendRead(request: RangeRequest): Promise<Result<RangePage, PlatformError>> {
    return await this.observeCall('read', request.table, this.inner.read(request));
  }

  private async sendTransaction(
    transaction: PartitionedTransaction,
  ): Promise<Result<PartitionedOutcome, PlatformError>> {
    const table = transaction.writes[0]?.table ?? transaction.removals[0]?.table ?? '';
    return await this.observeCall('transact', table, this.inner.transact(transaction));
  }

  private async observeCall<Answer>(
    kind: StoreCallKind,
    table: string,
    pendingAnswer: Promise<Result<Answer, PlatformError>>,
  ): Promise<Result<Answer, PlatformError>> {
    const startedAt = this.timers.now();
    const answer = await pendingAnswer;
    const now = this.timers.now();
    this.onCall({
      kind,
      milliseconds: now - startedAt,
      outcome: classifyAnswer(answer),
      table,
    });
    if (kind !== 'changes') {
      this.throttles[kind].recordOutcome(answer.err && answer.val.failure === 'rate-limited');
    }
    if (answer.ok) {
      this.consecutiveFailures = 0;
      this.lastAnswerAt = now;
    } else {
      this.consecutiveFailures++;
    }
    return answer;
  }
}

function createHeldBackError(): PlatformError {
  return new PlatformError('rate-limited', 'held back, since the store is over its rate');
}

function classifyAnswer(answer: Result<unknown, PlatformError>): StoreCallOutcome {
  if (answer.err) {
    return answer.val.failure === 'rate-limited' ? 'rate-limited' : 'failed';
  }
  return isConflict(answer.val) ? 'conflict' : 'answered';
}

function isConflict(answer: unknown): boolean {
  return (answer as Partial<PartitionedOutcome>).status === 'conflict';
}
