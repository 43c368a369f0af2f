/** Size of a segment, in bytes: what is read from a connection at a time. */
export const SEGMENT_BYTES = 65_536;
/** Segments that are kept for further use. */
const MAXIMUM_FREE_SEGMENTS = 64;

/**
 * Keeps buffers of one size for further use. Memory outside of the heap is freed late, so buffers that
 * are given up at a high rate would take more than those in use.
 *
 * @example
 * const segment = pool.take();
 * pool.give(segment);
 */
export class SegmentPool {
  private readonly free: Buffer[] = [];

  /** Returns a segment with any content. */
  public take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
  }

  /** Takes back a segment that nothing refers to any more. */
  public give(segment: Buffer): void {
    if (this.free.length < MAXIMUM_FREE_SEGMENTS) {
      this.free.push(segment);
    }
  }
}

/** Segments of all bodies of this process. */
export const segments = new SegmentPool();
