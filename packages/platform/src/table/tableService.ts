import type { Result } from '@zincring/core';

import type { PlatformError } from '../platformError.js';

/** Row of the table service. */
export interface Row {
  readonly key: string;
  /** Version of the row, which grows with every write; 0 if the row is absent. */
  readonly version: number;
  /** Text of at most 64 KiB; empty if the row is absent. */
  readonly value: string;
}

/** Check of a transaction that a row has the expected version. */
export interface RowCheck {
  readonly key: string;
  /** Expected version; 0 if the row must be absent. */
  readonly version: number;
}

/** Write or deletion of a row. */
export interface RowWrite {
  readonly key: string;
  /** New value; `null` deletes the row. */
  readonly value: string | null;
}

/** Atomic transaction: all of its writes take effect if all of its checks hold, otherwise none. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** Known outcome of a transaction. */
export type TransactionOutcome =
  | { readonly status: 'committed'; readonly rows: readonly Row[] }
  | {
      readonly status: 'conflict';
      /** Current rows of the failed checks. */
      readonly rows: readonly Row[];
    };

/** Page of the rows whose keys begin with a prefix, ordered by key. */
export interface ScanPage {
  readonly rows: readonly Row[];
  /** Value of `after` for the next page; `undefined` on the last page. */
  readonly next: string | undefined;
}

/** Request for a page of the rows whose keys begin with a prefix. */
export interface ScanRequest {
  readonly prefix: string;
  /** Only keys greater than this one. */
  readonly after?: string;
  /** Maximum number of rows. */
  readonly limit: number;
}

/** Transactional table service of the platform. It is linearizable; outages occur. */
export interface TableService {
  /** Reads rows in the order of `keys`; an absent row is returned with version 0. */
  read(keys: readonly string[]): Promise<Result<readonly Row[], PlatformError>>;
  /** Reads a page of the rows whose keys begin with a prefix. */
  scan(request: ScanRequest): Promise<Result<ScanPage, PlatformError>>;
  /** Commits the transaction if every check holds. */
  transact(transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>>;
}
