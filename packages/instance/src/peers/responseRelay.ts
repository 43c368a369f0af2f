import type { Hash } from 'node:crypto';

import { createHash } from 'node:crypto';

import type { CallData } from '../programs/programMessages.js';

/**
 * Outcome of a data frame: `differs` from the bytes relayed, `known` if it only repeats them, or
 * `passed` with the new bytes to relay.
 */
export type RelayOutcome =
  | { readonly kind: 'differs' }
  | { readonly kind: 'known' }
  | { readonly kind: 'passed'; readonly frame: CallData };

/**
 * Relays each byte of a response exactly once across attempts, each of which sends the response from
 * its first byte. Bytes relayed before are compared by digest, so that a response generated again
 * is never joined to the beginning of an earlier one.
 */
export class ResponseRelay {
  private readonly relayedHash: Hash = createHash('sha256');
  private attemptHash: Hash = createHash('sha256');
  private attemptLength = 0;
  private relayedLength = 0;

  /** Number of bytes relayed. */
  public get length(): number {
    return this.relayedLength;
  }

  /** Whether the current attempt has reached the end of the bytes relayed. */
  public get hasCaughtUp(): boolean {
    return this.attemptLength === this.relayedLength;
  }

  /** Starts another attempt, from the first byte of the response. */
  public restart(): void {
    this.attemptHash = createHash('sha256');
    this.attemptLength = 0;
  }

  /** Accepts the next frame of the current attempt. Frames must be in order and without gaps. */
  public accept(frame: CallData): RelayOutcome {
    const repeatedByteCount = Math.min(frame.data.length, this.relayedLength - this.attemptLength);
    if (repeatedByteCount > 0) {
      this.attemptHash.update(frame.data.subarray(0, repeatedByteCount));
      this.attemptLength += repeatedByteCount;
      if (this.hasCaughtUp && !this.hasSamePrefix()) {
        return { kind: 'differs' };
      }
    }
    if (repeatedByteCount === frame.data.length) {
      return { kind: 'known' };
    }
    const data = frame.data.subarray(repeatedByteCount);
    const offset = this.relayedLength;
    this.relayedHash.update(data);
    this.attemptHash.update(data);
    this.relayedLength += data.length;
    this.attemptLength += data.length;
    return { frame: { data, kind: 'data', offset }, kind: 'passed' };
  }

  private hasSamePrefix(): boolean {
    return this.relayedHash.copy().digest().equals(this.attemptHash.copy().digest());
  }
}
