import type { Change, Snapshot, Update } from '@zincring/coordination';

/** Maximum number of changes kept. */
const MAXIMUM_CHANGES = 256;
/** Maximum total number of characters in the lines of the changes kept. */
const MAXIMUM_CHARACTERS = 256 * 1024;

/** Keeps the latest changes in memory for peers that cannot reach the store. */
export class ChangeHistory {
  private changes: Change[] = [];
  private characters = 0;

  /** Adds a change; if it does not directly follow the last one, all earlier changes are removed. */
  public add(change: Change): void {
    const last = this.changes.at(-1);
    if (last !== undefined && last.version + 1 !== change.version) {
      this.clear();
    }
    this.changes.push(change);
    this.characters += countCharacters(change);
    while (this.changes.length > MAXIMUM_CHANGES || this.characters > MAXIMUM_CHARACTERS) {
      const oldest = this.changes.shift();
      if (oldest === undefined) {
        return;
      }
      this.characters -= countCharacters(oldest);
    }
  }

  /** Removes all changes, as after a snapshot was applied. */
  public clear(): void {
    this.changes = [];
    this.characters = 0;
  }

  /**
   * Returns the update that brings a reader of a version up to the newest: the changes since then,
   * or a snapshot when the changes kept do not reach back far enough.
   */
  public getUpdateAfter(after: number, newest: number, snapshot: () => Snapshot): Update {
    const oldestVersion = this.changes[0]?.version;
    if (oldestVersion !== undefined && oldestVersion <= after + 1) {
      const changes = this.changes.filter(change => change.version > after);
      return { changes, newest, snapshot: undefined };
    }
    return { changes: [], newest, snapshot: snapshot() };
  }
}

function countCharacters(change: Change): number {
  return [...change.added, ...change.removed].reduce((sum, line) => sum + line.length, 0);
}
