import type { Result, TimerService } from '@zincring/core';
import type { ObjectStore, PlatformFailure, TableService } from '@zincring/platform';

import { Err, Ok, sha256Hex } from '@zincring/core';
import { PlatformError, putSettled, transactSettled } from '@zincring/platform';

import type { Change, ProposedChange, Snapshot, Update, UpdateRequest } from './change.js';
import type { ChangeLines, Head, StoredChange } from './changeRows.js';

import { ChangeKeys, encodeHead, isLargeChange, parseHead } from './changeRows.js';

/** Outcome of an attempt to change a document. */
export type ChangeOutcome =
  | {
      readonly status: 'accepted';
      readonly version: number;
      /** Whether a change with this identifier had already been accepted. */
      readonly isRepeated: boolean;
    }
  | {
      readonly status: 'conflict';
      /** Changes that were accepted before this one could be, oldest first. */
      readonly changes: readonly Change[];
    };

/** Options of {@link VersionedChanges}. */
export interface VersionedChangesOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly timers: TimerService;
  /** Name of the document, which prefixes its rows and objects, such as `configuration`. */
  readonly name: string;
}

/** Page of changes to read for an audit. */
export interface HistoryRequest {
  /** Only changes after this version. */
  readonly after: number;
  /** Maximum number of changes. */
  readonly limit: number;
}

const CHANGES_PER_PAGE = 200;
/** Number of changes between two snapshots. */
const CHANGES_PER_SNAPSHOT = 64;
/** Number of snapshots that are retained. */
const RETAINED_SNAPSHOTS = 2;
const SETTLE_ATTEMPTS = 5;
const SETTLE_PAUSE_MILLISECONDS = 200;

/**
 * Document of lines that is modified by a sequence of accepted changes. One row holds the head, and
 * every change has a row that is its audit record as well. Of two concurrent changes, one is
 * accepted and the other conflicts. Snapshots are stored regularly, so that a new reader need not
 * read every change.
 */
export class VersionedChanges {
  private readonly keys: ChangeKeys;

  public constructor(private readonly options: VersionedChangesOptions) {
    this.keys = new ChangeKeys(options.name);
  }

  /** Reads the newest version. */
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
    const isComplete = changes.every((change, index) => change.version === after + index + 1);
    return isComplete
      ? Ok(changes)
      : Err(createError('unavailable', 'the sequence of changes has a gap'));
  }

  /** Reads one page of the changes after a version, oldest first. */
  public async readHistory(
    request: HistoryRequest,
  ): Promise<Result<readonly Change[], PlatformError>> {
    const page = await this.options.table.scan({
      after: this.keys.change(request.after),
      limit: request.limit,
      prefix: this.keys.changePrefix,
    });
    if (page.err) {
      return page;
    }
    const changes: Change[] = [];
    for (const row of page.val.rows) {
      const change = await this.readStoredChange(JSON.parse(row.value) as StoredChange);
      if (change.err) {
        return change;
      }
      changes.push(change.val);
    }
    return Ok(changes);
  }

  /**
   * Reads the update of a reader to the newest version: the changes after the version that it
   * holds, or the newest snapshot and the changes after that if the reader is far behind. The update
   * is empty if the reader already knows the newest version.
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
    const newestSnapshot = head.val.snapshots.at(-1);
    const usesSnapshot =
      newestSnapshot !== undefined && newestSnapshot - after > CHANGES_PER_SNAPSHOT;
    const snapshot = usesSnapshot ? await this.readSnapshot(newestSnapshot) : Ok(undefined);
    if (snapshot.err) {
      return snapshot;
    }
    const changes = await this.readChanges(usesSnapshot ? newestSnapshot : after);
    return changes.map(newerChanges => ({
      changes: newerChanges,
      newest: Math.max(head.val.version, newerChanges.at(-1)?.version ?? 0),
      snapshot: snapshot.val,
    }));
  }

  /**
   * Accepts a change of the version that was read. The change is applied once even if responses
   * are lost or it is requested again with the same identifier.
   *
   * @param current lines of the version that was read, for the snapshot that may be due
   */
  public async accept(
    head: Head,
    proposed: ProposedChange,
    current: readonly string[],
  ): Promise<Result<ChangeOutcome, PlatformError>> {
    const repeated = await this.findAccepted(proposed.changeId);
    if (repeated.err || repeated.val !== undefined) {
      return repeated.map(version => createAccepted(version ?? 0, true));
    }
    const snapshots = await this.storeSnapshotIfDue(head, current);
    if (snapshots.err) {
      return snapshots;
    }
    const retainedSnapshots = snapshots.val.slice(-RETAINED_SNAPSHOTS);
    const outcome = await this.commit(head, proposed, retainedSnapshots);
    if (outcome.err) {
      return outcome;
    }
    if (outcome.val === 'conflict') {
      return await this.resolveConflict(head, proposed.changeId);
    }
    for (const version of snapshots.val.slice(0, -RETAINED_SNAPSHOTS)) {
      // A snapshot that fails to be deleted only wastes space.
      await this.options.objects.delete(this.keys.snapshot(version));
    }
    return Ok(createAccepted(head.version + 1, false));
  }

  /** Finds the version that a change made, by its identifier; `undefined` if it was not accepted. */
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
    const stored = await this.storeChange({ ...proposed, version });
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
      { ...this.settleOptions, areAbsentRowsNeverDeleted: true, commitMarkerKey: identifierKey },
    );
    return outcome.map(({ status }) => status);
  }

  /** Stores the lines of a large change in an object, before a row refers to them. */
  private async storeChange(change: Change): Promise<Result<StoredChange, PlatformError>> {
    if (!isLargeChange(change)) {
      return Ok({ change, kind: 'whole' });
    }
    const { added, removed, ...rest } = change;
    const content: ChangeLines = { added, removed };
    const object = this.keys.lines(sha256Hex(JSON.stringify(content)));
    const put = await this.putObject(object, content);
    return put.map(() => ({ change: rest, kind: 'split', object }));
  }

  private async readStoredChange(stored: StoredChange): Promise<Result<Change, PlatformError>> {
    if (stored.kind === 'whole') {
      return Ok(stored.change);
    }
    const lines = await this.getObject<ChangeLines>(stored.object);
    return lines.map(content => ({ ...stored.change, ...content }));
  }

  private async resolveConflict(
    head: Head,
    changeId: string,
  ): Promise<Result<ChangeOutcome, PlatformError>> {
    const repeated = await this.findAccepted(changeId);
    if (repeated.err || repeated.val !== undefined) {
      return repeated.map(version => createAccepted(version ?? 0, true));
    }
    const changes = await this.readChanges(head.version);
    return changes.map(newerChanges => ({ changes: newerChanges, status: 'conflict' }));
  }

  /**
   * Stores a snapshot of the version that was read if the last snapshot is far behind.
   *
   * @returns the versions of all snapshots
   */
  private async storeSnapshotIfDue(
    head: Head,
    lines: readonly string[],
  ): Promise<Result<readonly number[], PlatformError>> {
    const { snapshots, version } = head;
    if (version - (snapshots.at(-1) ?? 0) < CHANGES_PER_SNAPSHOT) {
      return Ok(snapshots);
    }
    // Sorted, so that concurrent writers of one version store the same object.
    const content: Snapshot = { lines: [...lines].sort(), version };
    const put = await this.putObject(this.keys.snapshot(version), content);
    return put.map(() => [...snapshots, version]);
  }

  private async readSnapshot(version: number): Promise<Result<Snapshot, PlatformError>> {
    return await this.getObject<Snapshot>(this.keys.snapshot(version));
  }

  private async getObject<Content>(object: string): Promise<Result<Content, PlatformError>> {
    const read = await this.options.objects.get(object);
    return read.andThen(content =>
      content === undefined
        ? Err(createError('unavailable', `the object ${object} is missing`))
        : Ok(JSON.parse(Buffer.from(content).toString('utf8')) as Content),
    );
  }

  private async putObject(object: string, content: object): Promise<Result<void, PlatformError>> {
    const bytes = Buffer.from(JSON.stringify(content));
    const outcome = await putSettled(this.options.objects, object, bytes, this.settleOptions);
    return outcome.map(() => undefined);
  }

  private get settleOptions(): {
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

function createAccepted(version: number, isRepeated: boolean): ChangeOutcome {
  return { isRepeated, status: 'accepted', version };
}

function createError(kind: PlatformFailure, detail: string): PlatformError {
  return new PlatformError(kind, detail);
}
