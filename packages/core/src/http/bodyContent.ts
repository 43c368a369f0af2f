import { SEGMENT_BYTES, segments } from './segmentPool.js';

/** Size of the first buffer of a body that arrives in several pieces, in bytes. */
const MINIMUM_BUFFER_BYTES = 4_096;
const NOTHING: Buffer = Buffer.alloc(0);

/**
 * Content of a body that arrives in pieces of any size. Pieces are copied into few large buffers, as an
 * object of its own for each would take far more than a small piece itself.
 *
 * @example
 * content.append(Buffer.from('in'));
 * content.append(Buffer.from('put'));
 * content.complete().toString(); // 'input'
 */
export class BodyContent {
  /** Segments that are full. */
  private readonly full: Buffer[] = [];
  /** Buffer that is being filled, with the number of its bytes that are used. */
  private last: Buffer = NOTHING;
  private usedBytes = 0;

  /** Bytes of memory that the content takes. */
  public get heldBytes(): number {
    return this.full.length * SEGMENT_BYTES + this.last.length;
  }

  /** Appends a piece, which the caller must not change afterwards. */
  public append(piece: Buffer): void {
    if (this.last === NOTHING && piece.length <= SEGMENT_BYTES) {
      this.last = piece;
      this.usedBytes = piece.length;
      return;
    }
    for (let offset = 0; offset < piece.length;) {
      this.makeRoom(piece.length - offset);
      const copied = piece.copy(this.last, this.usedBytes, offset);
      this.usedBytes += copied;
      offset += copied;
    }
  }

  /** Returns the complete content; nothing can be appended afterwards. */
  public complete(): Buffer {
    const used = this.last.subarray(0, this.usedBytes);
    if (this.full.length === 0) {
      return used;
    }
    const content = Buffer.concat([...this.full, used]);
    this.clear();
    this.last = content;
    return content;
  }

  /** Gives up the content. */
  public clear(): void {
    this.full.splice(0).forEach(segment => {
      segments.give(segment);
    });
    this.last = NOTHING;
    this.usedBytes = 0;
  }

  private makeRoom(neededBytes: number): void {
    const { last, usedBytes } = this;
    if (usedBytes < last.length) {
      return;
    }
    if (last.length >= SEGMENT_BYTES) {
      this.full.push(last);
      this.last = segments.take();
      this.usedBytes = 0;
      return;
    }
    const size = Math.max(2 * last.length, MINIMUM_BUFFER_BYTES, usedBytes + neededBytes);
    this.last = size < SEGMENT_BYTES ? Buffer.allocUnsafeSlow(size) : segments.take();
    last.copy(this.last, 0, 0, usedBytes);
  }
}
