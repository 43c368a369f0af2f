import type { Result } from '@zincring/core';

import type { PlatformError } from '../platformError.js';

/** Where a row stands: transactions cover one partition, reads one partition of one table. */
export interface RowAddress {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** One row of a partitioned table. */
export interface PartitionedRow extends RowAddress {
  readonly value: Buffer;
  /** From one counter of the whole store; it grows with every transaction. */
  readonly version: number;
}

/** A row that was written or removed since some version. */
export type RowChange =
  | { readonly kind: 'removed'; readonly row: RowAddress; readonly version: number }
  | { readonly kind: 'written'; readonly row: PartitionedRow };

/** What to read of one partition. */
export interface RangeRequest {
  readonly table: string;
  readonly partition: string;
  /** First key, included. */
  readonly from?: string;
  /** End of the range, excluded. */
  readonly to?: string;
  /** At most this many rows. */
  readonly limit?: number;
}

/** Rows as of a single moment, in the order of their keys. */
export interface RangePage {
  readonly rows: readonly PartitionedRow[];
  /** Whether the range holds more rows than the page. */
  readonly isTruncated: boolean;
  /** Version of the whole store at that moment. */
  readonly version: number;
  /** Steady clock of the store, in milliseconds. */
  readonly storeTime: number;
}

/** What to wait for. */
export interface ChangesRequest {
  readonly table: string;
  /** Changes later than this version. */
  readonly after: number;
  /** Longest wait for a first change, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** Changes of a table in the order of their versions; none after an uneventful wait. */
export type ChangesAnswer =
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[] }
  | { readonly kind: 'history-lost' };

/** A row that must have a version; 0 when it must be absent. */
export interface PartitionedRowCheck extends RowAddress {
  readonly version: number;
}

/** A row to write. */
export interface PartitionedRowWrite extends RowAddress {
  readonly value: Buffer;
}

/** Checks and writes of one partition that take effect together or not at all. */
export interface PartitionedTransaction {
  readonly checks: readonly PartitionedRowCheck[];
  readonly writes: readonly PartitionedRowWrite[];
  readonly removals: readonly RowAddress[];
}

/** How a transaction ended when it is known how. */
export type PartitionedOutcome =
  | { readonly status: 'committed'; readonly version: number; readonly storeTime: number }
  | {
      readonly status: 'conflict';
      /** The rows of the checks as they are now; absent rows are left out. */
      readonly rows: readonly PartitionedRow[];
      readonly storeTime: number;
    };

/** A transactional table service whose tables have partitions and a feed of changes. */
export interface PartitionedTable {
  /** Reads a page of a range. */
  read(request: RangeRequest): Promise<Result<RangePage, PlatformError>>;
  /** Waits for changes of a table. */
  changes(request: ChangesRequest): Promise<Result<ChangesAnswer, PlatformError>>;
  /** Commits if every check holds. */
  transact(transaction: PartitionedTransaction): Promise<Result<PartitionedOutcome, PlatformError>>;
}
