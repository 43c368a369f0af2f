import type { CallId, HistoryDigest, ProgramId, ResumePoint } from '@zincring/core';

import { emptyHistoryDigest, extendHistoryDigest } from '@zincring/core';

import type { TurnRecord } from './programRecord.js';

/**
 * One line of turns with a chain of digests of its own: the program itself, or what the sub-agents
 * of one call do.
 */
export class BranchState {
  private readonly turns: TurnRecord[] = [];
  private headDigest: HistoryDigest;
  /** Number of the last turn known to be durable. */
  public durableTurn = 0;

  public constructor(program: ProgramId, parentCall: CallId | null) {
    const origin = parentCall === null ? program : `${program}/${parentCall}`;
    this.headDigest = emptyHistoryDigest(origin);
  }

  /** Number of the last turn. */
  public get turn(): number {
    return this.turns.length;
  }

  /** Every turn, oldest first. */
  public get history(): readonly TurnRecord[] {
    return this.turns;
  }

  /** Digest of the whole history. */
  public get digest(): HistoryDigest {
    return this.headDigest;
  }

  /** Where a caller can go on. */
  public get resumePoint(): ResumePoint {
    return { digest: this.headDigest, durableTurn: this.durableTurn, turn: this.turn };
  }

  /** Digest that the history would have after one more turn. */
  public nextDigest(request: string, answer: string): HistoryDigest {
    return extendHistoryDigest(this.headDigest, `${request}\n${answer}`);
  }

  /**
   * Adds a turn; throws when it does not extend the chain.
   *
   * @returns `false` for a turn that is there already, as a snapshot may hold what the log repeats
   */
  public extend(record: TurnRecord): boolean {
    if (this.turns[record.turn - 1]?.digest === record.digest) {
      return false;
    }
    const isNext = record.turn === this.turn + 1;
    if (!isNext || record.digest !== this.nextDigest(record.request, record.answer)) {
      throw new Error(`turn ${record.turn} does not extend the history of the program`);
    }
    this.turns.push(record);
    this.headDigest = record.digest;
    return true;
  }
}
