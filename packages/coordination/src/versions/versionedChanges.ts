import type { Result, TimerService } from '@zincring/core';
import type { ObjectStore, PlatformFailure, TableService } from '@zincring/platform';

import { Err, Ok, sha256Hex } from '@zincring/core';
import { PlatformError, putSettled, transactSettled } from '@zincring/platform';

import type { Change, ProposedChange, Snapshot, Update, UpdateRequest } from './change.js';
import type { ChangeLines, Head, StoredChange } from './changeRows.js';

import { ChangeKeys, encodeHead, isLargeChange, parseHead } from './changeRows.js';

/** How an attempt to change ended. */
export type ChangeOutcome =
  | {
      readonly status: 'accepted';
      readonly version: number;
      /** Whether this change, by its identifier, had been accepted before. */
      readonly isRepeated: boolean;
    }
  | {
      readonly status: 'conflict';
      /** The changes that were accepted first, oldest first. */
      readonly changes: readonly Change[];
    };

/** Where a versioned document is kept. */
export interface VersionedChangesOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly timers: TimerService;
  /** Prefix of its rows and objects, such as `configuration`. */
  readonly name: string;
}

/** Which changes to read, for the audit. */
export interface HistoryRequest {
  /** Only changes after this version. */
  readonly after: number;
  /** At most this many. */
  readonly limit: number;
}

const CHANGES_PER_PAGE = 200;
/** Changes between two versions that are stored whole. */
const CHANGES_PER_SNAPSHOT = 64;
/** Versions stored whole that are kept. */
const SNAPSHOTS_KEPT = 2;
const SETTLE_ATTEMPTS = 5;
const SETTLE_PAUSE_MILLISECONDS = 200;

/**
 * A document of lines that changes by accepted differences: one head row, and a row for every
 * change that is its audit record as well. Of two racing changes one is accepted, the other
 * conflicts. Whole versions are stored every so often, so that a new reader begins near the end.
 */
export class VersionedChanges {
  private readonly keys: ChangeKeys;

  public constructor(private readonly options: VersionedChangesOptions) {
    this.keys = new ChangeKeys(options.name);
  }

  /** Reads the head. */
  public async readHead(): Promise<Result<Head, PlatformError>> {
    const read = await this.options.table.read([this.keys.head]);
    return read.map(rows => parseHead(rows[0]));
  }

  /** Reads the changes after a version, oldest first and without a gap. */
  public async readChanges(after: number): Promise<Result<readonly Change[], PlatformError>> {
    const changes: Change[] = [];
    for (;;) {
      const last = changes.at(-1)?.version ?? after;
      const page = await this.readHistory({ after: last, limit: CHANGES_PER_PAGE });
      if (page.err) {
        return page;
      }
      changes.push(...page.val);
      if (page.val.length < CHANGES_PER_PAGE) {
        break;
      }
    }
    const isWhole = changes.every((change, index) => change.version === after + index + 1);
    return isWhole ? Ok(changes) : Err(failure('unavailable', 'a change is missing'));
  }

  /** Reads one page of the changes after a version, oldest first. */
  public async readHistory(
    request: HistoryRequest,
  ): Promise<Result<readonly Change[], PlatformError>> {
    const page = await this.options.table.scan({
      after: this.keys.change(request.after),
      limit: request.limit,
      prefix: this.keys.changes,
    });
    if (page.err) {
      return page;
    }
    const changes: Change[] = [];
    for (const row of page.val.rows) {
      const change = await this.readStored(JSON.parse(row.value) as StoredChange);
      if (change.err) {
        return change;
      }
      changes.push(change.val);
    }
    return Ok(changes);
  }

  /**
   * Reads what brings a reader up to the newest version, unless it knows it already: the changes after it, or the newest
   * stored version and the changes after that where this is less.
   */
  public async readUpdate({
    after,
    known = after,
  }: UpdateRequest): Promise<Result<Update, PlatformError>> {
    const head = await this.readHead();
    if (head.err) {
      return head;
    }
    if (head.val.version <= known) {
      return Ok({ changes: [], newest: head.val.version, snapshot: undefined });
    }
    const stored = head.val.snapshots.at(-1);
    const isFar = stored !== undefined && stored - after > CHANGES_PER_SNAPSHOT;
    const snapshot = isFar ? await this.readSnapshot(stored) : Ok(undefined);
    if (snapshot.err) {
      return snapshot;
    }
    const changes = await this.readChanges(isFar ? stored : after);
    return changes.map(newer => ({
      changes: newer,
      newest: Math.max(head.val.version, newer.at(-1)?.version ?? 0),
      snapshot: snapshot.val,
    }));
  }

  /**
   * Accepts a change of the version read, once, although answers may be lost and although it may
   * be asked for again with the same identifier.
   *
   * @param current the lines of the version read, to be stored whole when it is time
   */
  public async accept(
    head: Head,
    proposed: ProposedChange,
    current: readonly string[],
  ): Promise<Result<ChangeOutcome, PlatformError>> {
    const repeated = await this.findAccepted(proposed.changeId);
    if (repeated.err || repeated.val !== undefined) {
      return repeated.map(version => accepted(version ?? 0, true));
    }
    const snapshots = await this.storeSnapshot(head, current);
    if (snapshots.err) {
      return snapshots;
    }
    const kept = snapshots.val.slice(-SNAPSHOTS_KEPT);
    const outcome = await this.commit(head, proposed, kept);
    if (outcome.err) {
      return outcome;
    }
    if (outcome.val === 'conflict') {
      return await this.explainConflict(head, proposed.changeId);
    }
    for (const version of snapshots.val.slice(0, -SNAPSHOTS_KEPT)) {
      // An object that stays behind is only waste.
      await this.options.objects.delete(this.keys.snapshot(version));
    }
    return Ok(accepted(head.version + 1, false));
  }

  /** The version that a change made, by its identifier; `undefined` when it was not accepted. */
  public async findAccepted(changeId: string): Promise<Result<number | undefined, PlatformError>> {
    const read = await this.options.table.read([this.keys.identifier(changeId)]);
    return read.map(([row]) =>
      row === undefined || row.version === 0
        ? undefined
        : (JSON.parse(row.value) as { readonly version: number }).version,
    );
  }

  private async commit(
    head: Head,
    proposed: ProposedChange,
    snapshots: readonly number[],
  ): Promise<Result<'committed' | 'conflict', PlatformError>> {
    const version = head.version + 1;
    const stored = await this.store({ ...proposed, version });
    if (stored.err) {
      return stored;
    }
    const changeKey = this.keys.change(version);
    const identifierKey = this.keys.identifier(proposed.changeId);
    const outcome = await transactSettled(
      this.options.table,
      {
        checks: [
          { key: this.keys.head, version: head.rowVersion },
          { key: changeKey, version: 0 },
          { key: identifierKey, version: 0 },
        ],
        writes: [
          { key: this.keys.head, value: encodeHead({ snapshots, version }) },
          { key: changeKey, value: JSON.stringify(stored.val) },
          { key: identifierKey, value: JSON.stringify({ version }) },
        ],
      },
      { ...this.settling, areRowsKept: true, proofKey: identifierKey },
    );
    return outcome.map(({ status }) => status);
  }

  /** Puts the lines of a large change into an object, before a row refers to them. */
  private async store(change: Change): Promise<Result<StoredChange, PlatformError>> {
    if (!isLargeChange(change)) {
      return Ok({ change, kind: 'whole' });
    }
    const { added, removed, ...rest } = change;
    const content: ChangeLines = { added, removed };
    const object = this.keys.lines(sha256Hex(JSON.stringify(content)));
    const put = await this.put(object, content);
    return put.map(() => ({ change: rest, kind: 'split', object }));
  }

  private async readStored(stored: StoredChange): Promise<Result<Change, PlatformError>> {
    if (stored.kind === 'whole') {
      return Ok(stored.change);
    }
    const lines = await this.get<ChangeLines>(stored.object);
    return lines.map(content => ({ ...stored.change, ...content }));
  }

  private async explainConflict(
    head: Head,
    changeId: string,
  ): Promise<Result<ChangeOutcome, PlatformError>> {
    const repeated = await this.findAccepted(changeId);
    if (repeated.err || repeated.val !== undefined) {
      return repeated.map(version => accepted(version ?? 0, true));
    }
    const changes = await this.readChanges(head.version);
    return changes.map(newer => ({ changes: newer, status: 'conflict' }));
  }

  /** Stores the version read as a whole when the last one stored is far behind. */
  private async storeSnapshot(
    head: Head,
    lines: readonly string[],
  ): Promise<Result<readonly number[], PlatformError>> {
    const { snapshots, version } = head;
    if (version - (snapshots.at(-1) ?? 0) < CHANGES_PER_SNAPSHOT) {
      return Ok(snapshots);
    }
    // Sorted, so that racing writers of one version store the same object.
    const content: Snapshot = { lines: [...lines].sort(), version };
    const put = await this.put(this.keys.snapshot(version), content);
    return put.map(() => [...snapshots, version]);
  }

  private async readSnapshot(version: number): Promise<Result<Snapshot, PlatformError>> {
    return await this.get<Snapshot>(this.keys.snapshot(version));
  }

  private async get<Content>(object: string): Promise<Result<Content, PlatformError>> {
    const read = await this.options.objects.get(object);
    return read.andThen(content =>
      content === undefined
        ? Err(failure('unavailable', `the object ${object} is missing`))
        : Ok(JSON.parse(Buffer.from(content).toString('utf8')) as Content),
    );
  }

  private async put(object: string, content: object): Promise<Result<void, PlatformError>> {
    const bytes = Buffer.from(JSON.stringify(content));
    const outcome = await putSettled(this.options.objects, object, bytes, this.settling);
    return outcome.map(() => undefined);
  }

  private get settling(): {
    readonly attempts: number;
    readonly pauseMilliseconds: number;
    readonly timers: TimerService;
  } {
    return {
      attempts: SETTLE_ATTEMPTS,
      pauseMilliseconds: SETTLE_PAUSE_MILLISECONDS,
      timers: this.options.timers,
    };
  }
}

function accepted(version: number, isRepeated: boolean): ChangeOutcome {
  return { isRepeated, status: 'accepted', version };
}

function failure(kind: PlatformFailure, detail: string): PlatformError {
  return new PlatformError(kind, detail);
}
