/** How the window of one replica grows and shrinks. */
export interface ConcurrencyWindowOptions {
  /** Most calls in flight at the replica over all instances, as the service's rule says. */
  readonly maxCalls: number;
  /** Instances that share the replica. */
  readonly instances: number;
  /** Calls waiting at the replica above which the window shrinks. */
  readonly targetWaiting: number;
  /** Time that calls take before any was measured, in milliseconds. */
  readonly callMilliseconds: number;
}

/** Smallest window: one call in flight for a tenth of the time. */
const SMALLEST_WINDOW = 0.1;
/** Longest time between two calls of a window below one, in milliseconds. */
const LONGEST_PROBE_INTERVAL_MILLISECONDS = 5_000;
/** Calls by which the window grows over the time of one call. */
const GROWTH = 0.2;
/** Times of a call that one growth makes up for at most. */
const MAX_ROUNDS_PER_GROWTH = 2;
/** What is left of the window after a report of too many calls waiting. */
const CONGESTION_FACTOR = 0.8;
/** What is left of the window after a failure. */
const FAILURE_FACTOR = 0.5;
/** Weight of the newest sample in the moving average. */
const SMOOTHING = 0.1;

/**
 * Bounds the calls that one instance has in flight at one replica, so that the wait stays in the
 * instance's own queue. Additive increase, multiplicative decrease. A window below one is paced:
 * a window of 0.25 has one call in flight for a quarter of the time, which shares few places among
 * many instances and starves none.
 *
 * @example
 * if (window.hasRoom(timers.now())) {
 *   window.noteDispatch(timers.now());
 * }
 */
export class ConcurrencyWindow {
  private window: number;
  private inFlight = 0;
  private callMilliseconds: number;
  private nextDispatchAt = -Infinity;
  private lastDecreaseAt = -Infinity;
  private lastGrowthAt = -Infinity;
  /** Whether the last report told of too many calls waiting. */
  private isCongested = false;

  public constructor(private options: ConcurrencyWindowOptions) {
    this.callMilliseconds = options.callMilliseconds;
    this.window = this.clamp(options.maxCalls / Math.max(1, options.instances));
  }

  /** Calls that may be in flight on average; it may be below one. */
  public get size(): number {
    return this.window;
  }

  /** Calls in flight. */
  public get used(): number {
    return this.inFlight;
  }

  /** Takes over a changed rule or number of instances. */
  public reconfigure(options: ConcurrencyWindowOptions): void {
    this.options = options;
    this.window = this.clamp(this.window);
  }

  /**
   * Tells whether one more call may be sent.
   *
   * @param overflow calls beyond the window that are allowed for this one
   */
  public hasRoom(now: number, overflow = 0): boolean {
    if (overflow > 0) {
      return this.inFlight < Math.floor(this.window) + overflow;
    }
    if (this.window >= 1) {
      return this.inFlight < Math.floor(this.window);
    }
    return this.inFlight === 0 && now >= this.nextDispatchAt;
  }

  /** When {@link hasRoom} may become true by time alone; `undefined` when an end must come first. */
  public nextRoomAt(now: number): number | undefined {
    if (this.hasRoom(now)) {
      return now;
    }
    return this.inFlight === 0 ? this.nextDispatchAt : undefined;
  }

  /** Counts a call as sent. */
  public noteDispatch(): void {
    this.inFlight++;
  }

  /** Counts a call as ended well. */
  public noteSuccess(durationMilliseconds: number, now: number): void {
    this.callMilliseconds += SMOOTHING * (durationMilliseconds - this.callMilliseconds);
    const isLimiting = this.inFlight >= Math.floor(this.window);
    this.noteEnd(now);
    if (isLimiting && !this.isCongested) {
      this.grow(now);
    }
  }

  /** Counts a call as failed by the replica's fault. */
  public noteFailure(now: number): void {
    this.noteEnd(now);
    this.decrease(FAILURE_FACTOR, now);
  }

  /** Counts a call as given up by its caller. */
  public noteCancellation(now: number): void {
    this.noteEnd(now);
  }

  /** Takes in the number of calls that wait at the replica, of all instances. */
  public observeWaiting(waiting: number, now: number): void {
    this.isCongested = waiting > this.options.targetWaiting;
    if (this.isCongested) {
      this.decrease(CONGESTION_FACTOR, now);
    }
  }

  private noteEnd(now: number): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    if (this.window < 1) {
      const pause = this.callMilliseconds * (1 / this.window - 1);
      this.nextDispatchAt = now + Math.min(LONGEST_PROBE_INTERVAL_MILLISECONDS, pause);
    }
  }

  /**
   * Grows by the time that has passed and not by the calls that have ended, so that small windows
   * catch up with large ones.
   */
  private grow(now: number): void {
    const elapsed = (now - this.lastGrowthAt) / this.callMilliseconds;
    this.window = this.clamp(this.window + GROWTH * Math.min(MAX_ROUNDS_PER_GROWTH, elapsed));
    this.lastGrowthAt = now;
  }

  /** Shrinks once per round of calls at most, since reports lag behind. */
  private decrease(factor: number, now: number): void {
    if (now - this.lastDecreaseAt < this.callMilliseconds) {
      return;
    }
    this.lastDecreaseAt = now;
    this.window = this.clamp(this.window * factor);
  }

  private clamp(window: number): number {
    return Math.min(this.options.maxCalls, Math.max(SMALLEST_WINDOW, window));
  }
}
