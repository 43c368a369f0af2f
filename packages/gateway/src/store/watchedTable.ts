import type { Result, TimerService } from '@zincring/core';
import type {
  ChangesAnswer,
  ChangesRequest,
  PartitionedOutcome,
  PartitionedTable,
  PartitionedTransaction,
  PlatformError,
  RangePage,
  RangeRequest,
} from '@zincring/platform';

/** Takes in each call for the metrics. */
export type StoreCallListener = (
  call: 'changes' | 'read' | 'transact',
  table: string,
  isAnswered: boolean,
  milliseconds: number,
) => void;

/** Failures in a row after which the store counts as away. */
const FAILURES_UNTIL_AWAY = 2;
/** Time without an answer before the store may count as away, in milliseconds: many of its usual answers. */
const SILENCE_UNTIL_AWAY = 250;

/** When a caller may come back while this instance lacks the store, in seconds: another one may reach it. */
const AWAY_RETRY_SECONDS = 0.1;
/** When a caller may come back to a store that is slow or over its rate, in seconds: that is so at every instance. */
const BUSY_RETRY_SECONDS = 0.4;

/**
 * The store, with a look at whether it answers: work that needs it can then be refused at once
 * instead of waiting in vain.
 *
 * @example
 * const table = new WatchedTable(store, timers);
 * if (table.isAway) { return refusal; }
 */
export class WatchedTable implements PartitionedTable {
  private failures = 0;
  private answeredAt: number;

  public constructor(
    private readonly inner: PartitionedTable,
    private readonly timers: TimerService,
    private readonly onCall: StoreCallListener = () => undefined,
  ) {
    this.answeredAt = timers.now();
  }

  /** Whether the store has not answered for a while although it was asked. */
  public get isAway(): boolean {
    return (
      this.failures >= FAILURES_UNTIL_AWAY &&
      this.timers.now() - this.answeredAt >= SILENCE_UNTIL_AWAY
    );
  }

  /** Time since the last answer, in milliseconds. */
  public silenceMilliseconds(): number {
    return this.timers.now() - this.answeredAt;
  }

  /** When a caller may come back whose request failed for lack of an answer of the store, in seconds. */
  public get retryAfterSeconds(): number {
    return this.isAway ? AWAY_RETRY_SECONDS : BUSY_RETRY_SECONDS;
  }

  public async read(request: RangeRequest): Promise<Result<RangePage, PlatformError>> {
    return await this.watch('read', request.table, this.inner.read(request));
  }

  public async changes(request: ChangesRequest): Promise<Result<ChangesAnswer, PlatformError>> {
    return await this.watch('changes', request.table, this.inner.changes(request));
  }

  public async transact(
    transaction: PartitionedTransaction,
  ): Promise<Result<PartitionedOutcome, PlatformError>> {
    const table = transaction.writes[0]?.table ?? transaction.removals[0]?.table ?? '';
    return await this.watch('transact', table, this.inner.transact(transaction));
  }

  private async watch<Answer>(
    call: 'changes' | 'read' | 'transact',
    table: string,
    work: Promise<Result<Answer, PlatformError>>,
  ): Promise<Result<Answer, PlatformError>> {
    const startedAt = this.timers.now();
    const answer = await work;
    const now = this.timers.now();
    this.onCall(call, table, answer.ok, now - startedAt);
    if (answer.ok) {
      this.failures = 0;
      this.answeredAt = now;
    } else {
      this.failures++;
    }
    return answer;
  }
}
