import type { Result } from '@zincring/core';

import type { PlatformError } from '../platformError.js';

/** One row of the table service. */
export interface Row {
  readonly key: string;
  /** Grows with every write of the row; 0 stands for an absent row. */
  readonly version: number;
  /** Text, at most 64 KiB; empty when the row is absent. */
  readonly value: string;
}

/** A row that must have a version for a transaction to commit. */
export interface RowCheck {
  readonly key: string;
  /** Expected version; 0 when the row must be absent. */
  readonly version: number;
}

/** A row to write. */
export interface RowWrite {
  readonly key: string;
  /** New value; `null` deletes the row. */
  readonly value: string | null;
}

/** Checks and writes that take effect together or not at all. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** How a transaction ended when it is known how. */
export type TransactionOutcome =
  | { readonly status: 'committed'; readonly rows: readonly Row[] }
  | {
      readonly status: 'conflict';
      /** The rows of the failed checks as they are now. */
      readonly rows: readonly Row[];
    };

/** The rows of a prefix, one page at a time, in the order of keys. */
export interface ScanPage {
  readonly rows: readonly Row[];
  /** Give it as `after` to read on; `undefined` when there is no more. */
  readonly next: string | undefined;
}

/** What of a prefix to read. */
export interface ScanRequest {
  readonly prefix: string;
  /** Only keys greater than this one. */
  readonly after?: string;
  /** At most this many rows. */
  readonly limit: number;
}

/** The platform's transactional table service: linearizable, with outages. */
export interface TableService {
  /** Reads rows; an absent row comes back with version 0. */
  read(keys: readonly string[]): Promise<Result<readonly Row[], PlatformError>>;
  /** Reads a page of the rows whose keys begin with a prefix. */
  scan(request: ScanRequest): Promise<Result<ScanPage, PlatformError>>;
  /** Commits if every check holds. */
  transact(transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>>;
}
