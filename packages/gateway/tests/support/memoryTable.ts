import type { ManualTimerService, Result } from '@zincring/core';
import type {
  ChangesResponse,
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

/** Faults and latency of the store, as one client sees them. */
export interface StoreFaults {
  /** Every call fails immediately and has no effect. */
  isRefusing: boolean;
  /** No call is answered; each fails after the timeout of the client and has no effect. */
  isSilent: boolean;
  /** Transactions take effect, but their answers are lost. */
  losesAnswers: boolean;
  /** Requests for changes return none although there are some. */
  feedsMissChanges: boolean;
  /** Delay before each call takes effect, in milliseconds. */
  latencyMilliseconds: number;
  /** Transactions per second of all clients beyond which the store refuses further ones. */
  transactionsPerSecond: number;
}

/** Timeout of a client for a call without an answer, in milliseconds. */
const CLIENT_TIMEOUT_MILLISECONDS = 400;

/** Limits of one transaction, as the platform states them. */
const MAXIMUM_TRANSACTION_ENTRIES = 100;
const MAXIMUM_TRANSACTION_BYTES = 1_000_000;
const MAXIMUM_ROW_BYTES = 65_536;

/** In-memory store on a manual clock, with faults that tests switch on and off. */
export class MemoryTable {
  public readonly faults: StoreFaults = {
    feedsMissChanges: false,
    isRefusing: false,
    isSilent: false,
    latencyMilliseconds: 5,
    losesAnswers: false,
    transactionsPerSecond: Infinity,
  };
  /** Number of calls by all clients. */
  public calls = 0;
  /** Number of transactions by all clients, refused ones included. */
  public transactions = 0;
  /** Number of transactions that the store did not refuse by its rate. */
  public acceptedTransactions = 0;
  /** Size of all values that were written, in bytes. */
  public writtenBytes = 0;
  private readonly acceptedTransactionTimes: number[] = [];
  private readonly rows = new Map<string, PartitionedRow>();
  private history: RowChange[] = [];
  private version = 0;
  /** Changes up to this version are no longer in the history. */
  private oldestVersion = 0;

  public constructor(private readonly timers: ManualTimerService) {}

  /** Returns a client of the store; it shares the faults of the store unless it is given its own. */
  public client(faults: StoreFaults = this.faults): PartitionedTable {
    return {
      changes: async request => await this.changes(request, faults),
      read: async request => await this.read(request, faults),
      transact: async transaction => await this.transact(transaction, faults),
    };
  }

  /** Writes a row without a call of a client, as the operator or a replica would. */
  public put(address: RowAddress, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.version++;
    this.writeRow(address, Buffer.from(text));
  }

  /** Removes a row without a call of a client. */
  public remove(address: RowAddress): void {
    this.version++;
    this.removeRow(address);
  }

  /** Discards the history of changes, so that earlier versions can no longer be followed. */
  public compact(): void {
    this.history = [];
    this.oldestVersion = this.version;
  }

  /** Returns the current rows of a table without a call of a client. */
  public list(table: string): readonly PartitionedRow[] {
    return [...this.rows.values()].filter(row => row.table === table);
  }

  /** Returns the current row without a call of a client. */
  public get(address: RowAddress): PartitionedRow | undefined {
    return this.rows.get(formatAddress(address));
  }

  private async read(
    request: RangeRequest,
    faults: StoreFaults,
  ): Promise<Result<RangePage, PlatformError>> {
    const failure = await this.startCall(faults, 'unavailable');
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
  ): Promise<Result<ChangesResponse, PlatformError>> {
    const failure = await this.startCall(faults, 'unavailable');
    if (failure !== undefined) {
      return Err(failure);
    }
    if (after < this.oldestVersion) {
      return Ok({ kind: 'history-lost' });
    }
    const deadline = this.timers.now() + waitMilliseconds;
    while (this.timers.now() < deadline) {
      const changes = this.history.filter(
        change => getVersion(change) > after && change.row.table === table,
      );
      if (changes.length > 0 && !faults.feedsMissChanges) {
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
    this.transactions++;
    if (this.isOverRate(faults)) {
      return Err(new PlatformError('rate-limited', 'over the rate of the store'));
    }
    const limit = findExceededLimit(transaction);
    if (limit !== undefined) {
      return Err(new PlatformError('unavailable', `the transaction is refused: ${limit}`));
    }
    const failure = await this.startCall(faults, 'outcome-unknown');
    if (failure !== undefined) {
      return Err(failure);
    }
    const checkedRows = transaction.checks.map(check => ({ check, row: this.get(check) }));
    const storeTime = this.timers.now();
    if (checkedRows.some(({ check, row }) => (row?.version ?? 0) !== check.version)) {
      const rows = checkedRows.flatMap(({ row }) => (row === undefined ? [] : [row]));
      return Ok({ rows, status: 'conflict', storeTime });
    }
    this.version++;
    transaction.writes.forEach(write => {
      this.writtenBytes += write.value.length;
      this.writeRow(write, write.value);
    });
    transaction.removals.forEach(address => {
      this.removeRow(address);
    });
    if (faults.losesAnswers) {
      await sleep(this.timers, CLIENT_TIMEOUT_MILLISECONDS);
      return Err(new PlatformError('outcome-unknown', 'no answer'));
    }
    return Ok({ status: 'committed', storeTime, version: this.version });
  }

  private isOverRate({ transactionsPerSecond }: StoreFaults): boolean {
    const now = this.timers.now();
    while ((this.acceptedTransactionTimes[0] ?? now) <= now - 1_000) {
      this.acceptedTransactionTimes.shift();
    }
    if (this.acceptedTransactionTimes.length >= transactionsPerSecond) {
      return true;
    }
    this.acceptedTransactionTimes.push(now);
    this.acceptedTransactions++;
    return false;
  }

  private async startCall(
    faults: StoreFaults,
    failure: 'outcome-unknown' | 'unavailable',
  ): Promise<PlatformError | undefined> {
    this.calls++;
    if (faults.isRefusing) {
      return new PlatformError('unavailable', 'refused');
    }
    if (faults.isSilent) {
      await sleep(this.timers, CLIENT_TIMEOUT_MILLISECONDS);
      return new PlatformError(failure, 'no answer');
    }
    await sleep(this.timers, faults.latencyMilliseconds);
    return undefined;
  }

  private writeRow(address: RowAddress, value: Buffer): void {
    const { key, partition, table } = address;
    const row = { key, partition, table, value, version: this.version };
    this.rows.set(formatAddress(address), row);
    this.history.push({ kind: 'written', row });
  }

  private removeRow(address: RowAddress): void {
    this.rows.delete(formatAddress(address));
    this.history.push({ kind: 'removed', row: address, version: this.version });
  }
}

/** Returns the limit of the platform that a transaction exceeds; `undefined` if it exceeds none. */
function findExceededLimit({
  checks,
  removals,
  writes,
}: PartitionedTransaction): string | undefined {
  const entries: readonly RowAddress[] = [...checks, ...removals, ...writes];
  if (entries.length > MAXIMUM_TRANSACTION_ENTRIES) {
    return `${String(entries.length)} entries`;
  }
  if (new Set(entries.map(({ partition }) => partition)).size > 1) {
    return 'several partitions';
  }
  if (writes.some(({ value }) => value.length > MAXIMUM_ROW_BYTES)) {
    return 'a row that is too large';
  }
  const bytes = writes.reduce((sum, { value }) => sum + (value.length * 4) / 3, 0);
  return bytes > MAXIMUM_TRANSACTION_BYTES ? `${String(bytes)} bytes` : undefined;
}

function formatAddress({ key, partition, table }: RowAddress): string {
  return `${table}/${partition}/${key}`;
}

function getVersion(change: RowChange): number {
  return change.kind === 'written' ? change.row.version : change.version;
}
