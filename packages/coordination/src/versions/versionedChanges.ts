import type { Result, TimerService } from '@zincring/core';
import type { ObjectStore, Row, TableService, PlatformError } from '@zincring/platform';

import { Err, Ok } from '@zincring/core';
import { transactSettled } from '@zincring/platform';

/** One accepted change of a versioned document, with its audit record. */
export interface Change {
  /** Version that the change made. */
  readonly version: number;
  /** Unique identifier of the change, chosen by who asked for it. */
  readonly changeId: string;
  /** Who asked for it. */
  readonly requester: string;
  /** Why. */
  readonly reason: string;
  /** Wall-clock time, in milliseconds since 1970. */
  readonly at: number;
  /** Lines taken out. */
  readonly removed: readonly string[];
  /** Lines put in. */
  readonly added: readonly string[];
}

/** The newest version. */
export interface Head {
  readonly version: number;
  /** Version of the row, for the next compare-and-set. */
  readonly rowVersion: number;
}

/** How an attempt to change ended. */
export type ChangeOutcome =
  { readonly status: 'accepted'; readonly version: number } | { readonly status: 'conflict' };

/** Where a versioned document is kept. */
export interface VersionedChangesOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly timers: TimerService;
  /** Prefix of its rows, such as `configuration`. */
  readonly name: string;
}

const VERSION_DIGITS = 12;
const CHANGES_PER_PAGE = 200;
const SETTLE_ATTEMPTS = 5;
const SETTLE_PAUSE_MILLISECONDS = 200;

/**
 * A document that changes by accepted differences: one head row, and a row for every change that
 * is its audit record as well. Of two racing changes one is accepted, the other conflicts.
 */
export class VersionedChanges {
  public constructor(private readonly options: VersionedChangesOptions) {}

  /** Reads the head. */
  public async readHead(): Promise<Result<Head, PlatformError>> {
    const read = await this.options.table.read([this.headKey]);
    return read.map(rows => parseHead(rows[0]));
  }

  /** Reads the changes after a version, oldest first. */
  public async readChanges(after: number): Promise<Result<readonly Change[], PlatformError>> {
    const changes: Change[] = [];
    let cursor: string | undefined = this.changeKey(after);
    while (cursor !== undefined) {
      const page = await this.options.table.scan({
        after: cursor,
        limit: CHANGES_PER_PAGE,
        prefix: `${this.options.name}/change/`,
      });
      if (page.err) {
        return Err(page.val);
      }
      changes.push(...page.val.rows.map(row => JSON.parse(row.value) as Change));
      cursor = page.val.next;
    }
    return Ok(changes);
  }

  /** Accepts a change of the version read, once, although answers may be lost. */
  public async accept(
    head: Head,
    change: Omit<Change, 'version'>,
  ): Promise<Result<ChangeOutcome, PlatformError>> {
    const version = head.version + 1;
    const changeKey = this.changeKey(version);
    const outcome = await transactSettled(
      this.options.table,
      {
        checks: [
          { key: this.headKey, version: head.rowVersion },
          { key: changeKey, version: 0 },
        ],
        writes: [
          { key: this.headKey, value: JSON.stringify({ changeId: change.changeId, version }) },
          { key: changeKey, value: JSON.stringify({ ...change, version }) },
        ],
      },
      {
        attempts: SETTLE_ATTEMPTS,
        pauseMilliseconds: SETTLE_PAUSE_MILLISECONDS,
        proofKey: changeKey,
        timers: this.options.timers,
      },
    );
    return outcome.map(result =>
      result.status === 'committed' ? { status: 'accepted', version } : { status: 'conflict' },
    );
  }

  private get headKey(): string {
    return `${this.options.name}/head`;
  }

  private changeKey(version: number): string {
    return `${this.options.name}/change/${String(version).padStart(VERSION_DIGITS, '0')}`;
  }
}

function parseHead(row: Row | undefined): Head {
  if (row === undefined || row.version === 0) {
    return { rowVersion: 0, version: 0 };
  }
  const { version } = JSON.parse(row.value) as { readonly version: number };
  return { rowVersion: row.version, version };
}
