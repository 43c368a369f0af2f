import type { ManualTimerService, Result } from '@zincring/core';
import type {
  ChangesAnswer,
  ChangesRequest,
  PartitionedOutcome,
  PartitionedRow,
  PartitionedTable,
  PartitionedTransaction,
  RangePage,
  RangeRequest,
  RowAddress,
  RowChange,
} from '@zincring/platform';

import { Err, Ok, sleep } from '@zincring/core';
import { PlatformError } from '@zincring/platform';

/** How the store behaves. */
export interface StoreFaults {
  /** Every call fails at once and does nothing. */
  isRefusing: boolean;
  /** No call is answered; the client gives up after a while. */
  isSilent: boolean;
  /** Writes take effect and are not answered. */
  losesAnswers: boolean;
  /** Feeds hear nothing although changes are made. */
  hasDeafFeeds: boolean;
  /** Time that each call takes, in milliseconds. */
  latency: number;
}

const CLIENT_TIMEOUT = 400;

/** The store in memory, on manual time, with faults that tests switch. */
export class MemoryTable {
  public readonly faults: StoreFaults = {
    hasDeafFeeds: false,
    isRefusing: false,
    isSilent: false,
    latency: 5,
    losesAnswers: false,
  };
  public calls = 0;
  private readonly rows = new Map<string, PartitionedRow>();
  private history: RowChange[] = [];
  private version = 0;
  private oldest = 0;

  public constructor(private readonly timers: ManualTimerService) {}

  /** A client of the store with faults of its own. */
  public client(faults: StoreFaults = this.faults): PartitionedTable {
    return {
      changes: async request => await this.changes(request, faults),
      read: async request => await this.read(request, faults),
      transact: async transaction => await this.transact(transaction, faults),
    };
  }

  /** Writes without a call, as the operator or a replica does. */
  public put(address: RowAddress, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.version++;
    this.write(address, Buffer.from(text));
  }

  /** Removes a row without a call. */
  public remove(address: RowAddress): void {
    this.version++;
    this.drop(address);
  }

  /** Forgets the history of changes. */
  public compact(): void {
    this.history = [];
    this.oldest = this.version;
  }

  /** A row as it is. */
  public get(address: RowAddress): PartitionedRow | undefined {
    return this.rows.get(nameOf(address));
  }

  private async read(
    request: RangeRequest,
    faults: StoreFaults,
  ): Promise<Result<RangePage, PlatformError>> {
    const failure = await this.enter(faults, 'unavailable');
    if (failure !== undefined) {
      return Err(failure);
    }
    const rows = [...this.rows.values()]
      .filter(row => row.table === request.table && row.partition === request.partition)
      .filter(row => row.key >= (request.from ?? ''))
      .filter(row => request.to === undefined || row.key < request.to)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const limit = request.limit ?? 500;
    return Ok({
      isTruncated: rows.length > limit,
      rows: rows.slice(0, limit),
      storeTime: this.timers.now(),
      version: this.version,
    });
  }

  private async changes(
    { after, table, waitMilliseconds }: ChangesRequest,
    faults: StoreFaults,
  ): Promise<Result<ChangesAnswer, PlatformError>> {
    const failure = await this.enter(faults, 'unavailable');
    if (failure !== undefined) {
      return Err(failure);
    }
    if (after < this.oldest) {
      return Ok({ kind: 'history-lost' });
    }
    const until = this.timers.now() + waitMilliseconds;
    while (this.timers.now() < until) {
      const changes = this.history.filter(
        change => versionOf(change) > after && change.row.table === table,
      );
      if (changes.length > 0 && !faults.hasDeafFeeds) {
        return Ok({ changes, kind: 'changes' });
      }
      await sleep(this.timers, 10);
      if (faults.isSilent || faults.isRefusing) {
        return Err(new PlatformError('unavailable', 'the feed was cut'));
      }
    }
    return Ok({ changes: [], kind: 'changes' });
  }

  private async transact(
    transaction: PartitionedTransaction,
    faults: StoreFaults,
  ): Promise<Result<PartitionedOutcome, PlatformError>> {
    const failure = await this.enter(faults, 'outcome-unknown');
    if (failure !== undefined) {
      return Err(failure);
    }
    const known = transaction.checks.map(check => ({ check, row: this.get(check) }));
    const storeTime = this.timers.now();
    if (known.some(({ check, row }) => (row?.version ?? 0) !== check.version)) {
      const rows = known.flatMap(({ row }) => (row === undefined ? [] : [row]));
      return Ok({ rows, status: 'conflict', storeTime });
    }
    this.version++;
    transaction.writes.forEach(write => {
      this.write(write, write.value);
    });
    transaction.removals.forEach(address => {
      this.drop(address);
    });
    if (faults.losesAnswers) {
      await sleep(this.timers, CLIENT_TIMEOUT);
      return Err(new PlatformError('outcome-unknown', 'no answer'));
    }
    return Ok({ status: 'committed', storeTime, version: this.version });
  }

  private async enter(
    faults: StoreFaults,
    failure: 'outcome-unknown' | 'unavailable',
  ): Promise<PlatformError | undefined> {
    this.calls++;
    if (faults.isRefusing) {
      return new PlatformError('unavailable', 'refused');
    }
    if (faults.isSilent) {
      await sleep(this.timers, CLIENT_TIMEOUT);
      return new PlatformError(failure, 'no answer');
    }
    await sleep(this.timers, faults.latency);
    return undefined;
  }

  private write(address: RowAddress, value: Buffer): void {
    const { key, partition, table } = address;
    const row = { key, partition, table, value, version: this.version };
    this.rows.set(nameOf(address), row);
    this.history.push({ kind: 'written', row });
  }

  private drop(address: RowAddress): void {
    this.rows.delete(nameOf(address));
    this.history.push({ kind: 'removed', row: address, version: this.version });
  }
}

function nameOf({ key, partition, table }: RowAddress): string {
  return `${table}/${partition}/${key}`;
}

function versionOf(change: RowChange): number {
  return change.kind === 'written' ? change.row.version : change.version;
}
