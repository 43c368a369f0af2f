import type { CallId, HistoryDigest, ProgramId, ResumePoint } from '@zincring/core';

import { emptyHistoryDigest, extendHistoryDigest } from '@zincring/core';

import type { TurnRecord } from './programRecord.js';

/**
 * A sequence of turns with its own chain of digests: the branch of the program itself, or the
 * branch of the sub-agents of one call.
 */
export class BranchState {
  private readonly turns: TurnRecord[] = [];
  private headDigest: HistoryDigest;
  /** Number of the last turn that is known to be durable. */
  public durableTurn = 0;

  public constructor(program: ProgramId, parentCall: CallId | null) {
    const origin = parentCall === null ? program : `${program}/${parentCall}`;
    this.headDigest = emptyHistoryDigest(origin);
  }

  /** Number of the last turn; 0 if there is none. */
  public get turn(): number {
    return this.turns.length;
  }

  /** All turns, oldest first. */
  public get history(): readonly TurnRecord[] {
    return this.turns;
  }

  /** Digest of the complete history. */
  public get digest(): HistoryDigest {
    return this.headDigest;
  }

  /** Position from which a caller can continue. */
  public get resumePoint(): ResumePoint {
    return { digest: this.headDigest, durableTurn: this.durableTurn, turn: this.turn };
  }

  /** Computes the digest that the history would have after one more turn. */
  public computeNextDigest(request: string, response: string): HistoryDigest {
    return extendHistoryDigest(this.headDigest, `${request}\n${response}`);
  }

  /**
   * Appends a turn; throws if it does not extend the chain of digests.
   *
   * @returns `false` if the turn is already present: a snapshot may contain turns that the log
   * repeats
   */
  public extend(record: TurnRecord): boolean {
    if (this.turns[record.turn - 1]?.digest === record.digest) {
      return false;
    }
    const isNext = record.turn === this.turn + 1;
    if (!isNext || record.digest !== this.computeNextDigest(record.request, record.answer)) {
      throw new Error(`turn ${record.turn} does not extend the history of the program`);
    }
    this.turns.push(record);
    this.headDigest = record.digest;
    return true;
  }
}
