import type { Change, Snapshot, Update } from '@zincring/coordination';

/** Most changes that are kept. */
const MOST_CHANGES = 256;
/** Most characters in the lines of the changes that are kept. */
const MOST_CHARACTERS = 256 * 1024;

/** The latest changes, for peers that cannot reach the store. */
export class ChangeHistory {
  private changes: Change[] = [];
  private characters = 0;

  /** Keeps a change that follows the last one kept; any other begins the history anew. */
  public add(change: Change): void {
    const last = this.changes.at(-1);
    if (last !== undefined && last.version + 1 !== change.version) {
      this.clear();
    }
    this.changes.push(change);
    this.characters += sizeOf(change);
    while (this.changes.length > MOST_CHANGES || this.characters > MOST_CHARACTERS) {
      const oldest = this.changes.shift();
      if (oldest === undefined) {
        return;
      }
      this.characters -= sizeOf(oldest);
    }
  }

  /** Forgets everything, as after a jump. */
  public clear(): void {
    this.changes = [];
    this.characters = 0;
  }

  /**
   * What brings a reader of a version up to the newest: the changes kept, or a whole version
   * where they do not reach back far enough.
   */
  public updateAfter(after: number, newest: number, snapshot: () => Snapshot): Update {
    const first = this.changes[0]?.version;
    if (first !== undefined && first <= after + 1) {
      const changes = this.changes.filter(change => change.version > after);
      return { changes, newest, snapshot: undefined };
    }
    return { changes: [], newest, snapshot: snapshot() };
  }
}

function sizeOf(change: Change): number {
  return [...change.added, ...change.removed].reduce((sum, line) => sum + line.length, 0);
}
