import type { Hash } from 'node:crypto';

import { createHash } from 'node:crypto';

import type { CallData } from '../programs/programMessages.js';

/** What becomes of a part of an answer. */
export type RelayOutcome =
  | { readonly kind: 'differs' }
  | { readonly kind: 'known' }
  | { readonly kind: 'passed'; readonly frame: CallData };

/**
 * Passes each byte of an answer on once, over any number of attempts that each begin at its start.
 * What was passed on before is compared by digest: an answer that was made anew is never joined to
 * the beginning of another.
 */
export class AnswerRelay {
  private readonly passed: Hash = createHash('sha256');
  private repeated: Hash = createHash('sha256');
  private repeatedLength = 0;
  private passedLength = 0;

  /** Bytes passed on. */
  public get length(): number {
    return this.passedLength;
  }

  /** Whether the running attempt has come to the end of what was passed on. */
  public get hasCaughtUp(): boolean {
    return this.repeatedLength === this.passedLength;
  }

  /** Begins another attempt from the start of the answer. */
  public restart(): void {
    this.repeated = createHash('sha256');
    this.repeatedLength = 0;
  }

  /** Takes the next part of the running attempt; its parts come in order and without gaps. */
  public accept(frame: CallData): RelayOutcome {
    const known = Math.min(frame.data.length, this.passedLength - this.repeatedLength);
    if (known > 0) {
      this.repeated.update(frame.data.subarray(0, known));
      this.repeatedLength += known;
      if (this.hasCaughtUp && !this.isSameBeginning()) {
        return { kind: 'differs' };
      }
    }
    if (known === frame.data.length) {
      return { kind: 'known' };
    }
    const data = frame.data.subarray(known);
    const offset = this.passedLength;
    this.passed.update(data);
    this.repeated.update(data);
    this.passedLength += data.length;
    this.repeatedLength += data.length;
    return { frame: { data, kind: 'data', offset }, kind: 'passed' };
  }

  private isSameBeginning(): boolean {
    return this.passed.copy().digest().equals(this.repeated.copy().digest());
  }
}
