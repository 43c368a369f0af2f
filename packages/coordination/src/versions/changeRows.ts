import type { Row } from '@zincring/platform';

import type { Change, ProposedChange } from './change.js';

/** Newest version, as its row was read. */
export interface Head {
  readonly version: number;
  /** Versions that are stored as snapshots, oldest first. */
  readonly snapshots: readonly number[];
  /** Version of the row, for the next compare-and-set. */
  readonly rowVersion: number;
}

/** Change as its row stores it: complete (`whole`), or with its lines in an object (`split`). */
export type StoredChange =
  | { readonly kind: 'whole'; readonly change: Change }
  | {
      readonly kind: 'split';
      readonly change: Omit<Change, 'added' | 'removed'>;
      /** Name of the object that holds the lines. */
      readonly object: string;
    };

/** Lines of a large change, as their object stores them. */
export interface ChangeLines {
  readonly removed: readonly string[];
  readonly added: readonly string[];
}

/** Maximum size of a change that is stored in its row; the table accepts 64 KiB. */
const MAXIMUM_ROW_BYTES = 32 * 1024;
const VERSION_DIGITS = 12;

/** Names of the rows and objects of one versioned document. */
export class ChangeKeys {
  public constructor(private readonly name: string) {}

  public get head(): string {
    return `${this.name}/head`;
  }

  public get changePrefix(): string {
    return `${this.name}/change/`;
  }

  public change(version: number): string {
    return `${this.changePrefix}${String(version).padStart(VERSION_DIGITS, '0')}`;
  }

  /** Returns the key of the row that records which version a change made. */
  public identifier(changeId: string): string {
    return `${this.name}/change-id/${changeId}`;
  }

  /** Returns the name of the object for the lines of a large change, by the digest of its content. */
  public lines(digest: string): string {
    return `${this.name}/lines/${digest}`;
  }

  public snapshot(version: number): string {
    return `${this.name}/snapshot/${String(version).padStart(VERSION_DIGITS, '0')}`;
  }
}

/** Parses the row of the head; an absent row is version 0. */
export function parseHead(row: Row | undefined): Head {
  if (row === undefined || row.version === 0) {
    return { rowVersion: 0, snapshots: [], version: 0 };
  }
  const head = JSON.parse(row.value) as Omit<Head, 'rowVersion'>;
  return { rowVersion: row.version, snapshots: head.snapshots, version: head.version };
}

/** Encodes the value of the row of the head. */
export function encodeHead(head: Omit<Head, 'rowVersion'>): string {
  return JSON.stringify({ snapshots: head.snapshots, version: head.version });
}

/** Whether a change is too large for a row of the table. */
export function isLargeChange(change: ProposedChange): boolean {
  return Buffer.byteLength(JSON.stringify(change)) > MAXIMUM_ROW_BYTES;
}
