import type { Result } from '@zincring/core';

import type { PlatformError } from '../platformError.js';

/**
 * Address of a row. A transaction covers one partition; a read covers one partition of one table.
 */
export interface RowAddress {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** Row of a partitioned table. */
export interface PartitionedRow extends RowAddress {
  readonly value: Buffer;
  /** Value of the store-wide version counter, which grows with every transaction. */
  readonly version: number;
}

/** Write or removal of a row. */
export type RowChange =
  | { readonly kind: 'removed'; readonly row: RowAddress; readonly version: number }
  | { readonly kind: 'written'; readonly row: PartitionedRow };

/** Request for a range of rows of one partition. */
export interface RangeRequest {
  readonly table: string;
  readonly partition: string;
  /** Start of the range, inclusive. */
  readonly from?: string;
  /** End of the range, exclusive. */
  readonly to?: string;
  /** Maximum number of rows. */
  readonly limit?: number;
}

/** Consistent snapshot of rows, ordered by key. */
export interface RangePage {
  readonly rows: readonly PartitionedRow[];
  /** Whether the range holds more rows than the page. */
  readonly isTruncated: boolean;
  /** Value of the store-wide version counter at the time of the snapshot. */
  readonly version: number;
  /** Time on the monotonic clock of the store, in milliseconds. */
  readonly storeTime: number;
}

/** Request for changes of a table. */
export interface ChangesRequest {
  readonly table: string;
  /** Only changes after this version are returned. */
  readonly after: number;
  /** Maximum wait for the first change, in milliseconds. */
  readonly waitMilliseconds: number;
}

/**
 * Changes of a table, ordered by version; empty if none occurred during the wait. `history-lost`
 * means that changes after the requested version are no longer available.
 */
export type ChangesResponse =
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[] }
  | { readonly kind: 'history-lost' };

/** Check of a transaction that a row has a version, or is absent if the version is 0. */
export interface PartitionedRowCheck extends RowAddress {
  readonly version: number;
}

/** Write of a row. */
export interface PartitionedRowWrite extends RowAddress {
  readonly value: Buffer;
}

/** Atomic transaction on one partition: its writes and removals take effect if all checks hold. */
export interface PartitionedTransaction {
  readonly checks: readonly PartitionedRowCheck[];
  readonly writes: readonly PartitionedRowWrite[];
  readonly removals: readonly RowAddress[];
}

/** Known outcome of a transaction. */
export type PartitionedOutcome =
  | { readonly status: 'committed'; readonly version: number; readonly storeTime: number }
  | {
      readonly status: 'conflict';
      /** Current rows of the checks; absent rows are left out. */
      readonly rows: readonly PartitionedRow[];
      readonly storeTime: number;
    };

/** Transactional table service with partitioned tables and change feeds. */
export interface PartitionedTable {
  /** Reads a page of a range. */
  read(request: RangeRequest): Promise<Result<RangePage, PlatformError>>;
  /** Waits for changes of a table. */
  changes(request: ChangesRequest): Promise<Result<ChangesResponse, PlatformError>>;
  /** Commits the transaction if every check holds. */
  transact(transaction: PartitionedTransaction): Promise<Result<PartitionedOutcome, PlatformError>>;
}
