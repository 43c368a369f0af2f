import type { TimerService } from '../time/timerService.js';

/** Bytes that may pass at a time. */
const MAXIMUM_BURST_BYTES = 1_048_576;
const BYTES_PER_MILLISECOND = 32_768;

/**
 * Bounds the rate of bytes beyond those of ordinary requests and responses. Every byte that is read
 * leaves some in memory that is freed only later, so at any rate the process would grow without bound.
 *
 * @example
 * pacer.record(bytes.length);
 * await sleep(timers, pacer.delayMilliseconds());
 */
export class BytePacer {
  private allowedBytes = MAXIMUM_BURST_BYTES;
  private updatedAt = 0;

  /** @param onRecorded called with the bytes that are counted */
  public constructor(
    private readonly timers: Pick<TimerService, 'now'>,
    private readonly onRecorded: (bytes: number) => void = () => undefined,
  ) {}

  /** Counts bytes that have passed. */
  public record(bytes: number): void {
    this.earn();
    this.allowedBytes -= bytes;
    this.onRecorded(bytes);
  }

  /** Time until further bytes may pass, in milliseconds; 0 if they may now. */
  public delayMilliseconds(): number {
    this.earn();
    return Math.max(0, -this.allowedBytes / BYTES_PER_MILLISECOND);
  }

  private earn(): void {
    const now = this.timers.now();
    const earnedBytes = (now - this.updatedAt) * BYTES_PER_MILLISECOND;
    this.allowedBytes = Math.min(MAXIMUM_BURST_BYTES, this.allowedBytes + earnedBytes);
    this.updatedAt = now;
  }
}
