/** Options of a {@link ConcurrencyWindow}. */
export interface ConcurrencyWindowOptions {
  /**
   * Maximum number of calls in flight at the replica over all instances, from the rule of the
   * service.
   */
  readonly maximumCalls: number;
  /** Number of instances that share the replica. */
  readonly instances: number;
  /** Number of calls waiting at the replica above which the window shrinks. */
  readonly targetWaiting: number;
  /** Expected duration of a call before any has been measured, in milliseconds. */
  readonly callMilliseconds: number;
}

/** Minimum window: one call in flight for a tenth of the time. */
const MINIMUM_WINDOW = 0.1;
/** Maximum pause between two calls of a window below one, in milliseconds. */
const MAXIMUM_PROBE_INTERVAL_MILLISECONDS = 5_000;
/** Number of calls by which the window grows within one round, the duration of one call. */
const GROWTH_PER_ROUND = 0.2;
/** Maximum number of rounds that one growth step accounts for. */
const MAXIMUM_ROUNDS_PER_GROWTH = 2;
/** Factor that the window is multiplied by after a report of too many waiting calls. */
const CONGESTION_FACTOR = 0.8;
/** Factor that the window is multiplied by after a failure. */
const FAILURE_FACTOR = 0.5;
/** Weight of the newest sample in the moving average of call durations. */
const SMOOTHING_FACTOR = 0.1;

/**
 * Limits the calls that one instance has in flight at one replica, which keeps waiting calls in the
 * instance's own queue. The window grows by additive increase and shrinks by multiplicative
 * decrease. Below one it is paced: with a window of 0.25, one call is in flight for a quarter of
 * the time. This shares few slots among many instances without starving any.
 *
 * @example
 * if (window.hasCapacity(timers.now())) {
 *   window.recordDispatch();
 * }
 */
export class ConcurrencyWindow {
  private window: number;
  private inFlight = 0;
  private callMilliseconds: number;
  private nextDispatchAt = -Infinity;
  private lastDecreaseAt = -Infinity;
  private lastGrowthAt = -Infinity;
  /** Whether the last report had too many waiting calls. */
  private isCongested = false;

  public constructor(private options: ConcurrencyWindowOptions) {
    this.callMilliseconds = options.callMilliseconds;
    this.window = this.clamp(options.maximumCalls / Math.max(1, options.instances));
  }

  /** Average number of calls that may be in flight; it may be below one. */
  public get size(): number {
    return this.window;
  }

  /** Number of calls in flight. */
  public get used(): number {
    return this.inFlight;
  }

  /** Applies a change of the service's rule or of the number of instances. */
  public reconfigure(options: ConcurrencyWindowOptions): void {
    this.options = options;
    this.window = this.clamp(this.window);
  }

  /**
   * Returns whether one more call may be sent.
   *
   * @param overflow number of calls beyond the window that are allowed for this call
   */
  public hasCapacity(now: number, overflow = 0): boolean {
    if (overflow > 0) {
      return this.inFlight < Math.floor(this.window) + overflow;
    }
    if (this.window >= 1) {
      return this.inFlight < Math.floor(this.window);
    }
    return this.inFlight === 0 && now >= this.nextDispatchAt;
  }

  /**
   * Returns the time at which {@link hasCapacity} may become true by itself; `undefined` if a call
   * has to end first.
   */
  public nextCapacityAt(now: number): number | undefined {
    if (this.hasCapacity(now)) {
      return now;
    }
    return this.inFlight === 0 ? this.nextDispatchAt : undefined;
  }

  /** Records that a call was sent. */
  public recordDispatch(): void {
    this.inFlight++;
  }

  /** Records the success of a call. */
  public recordSuccess(durationMilliseconds: number, now: number): void {
    this.callMilliseconds += SMOOTHING_FACTOR * (durationMilliseconds - this.callMilliseconds);
    const wasFull = this.inFlight >= Math.floor(this.window);
    this.recordEnd(now);
    if (wasFull && !this.isCongested) {
      this.grow(now);
    }
  }

  /** Records the failure of a call through a fault of the replica. */
  public recordFailure(now: number): void {
    this.recordEnd(now);
    this.decrease(FAILURE_FACTOR, now);
  }

  /** Records the cancellation of a call by its caller. */
  public recordCancellation(now: number): void {
    this.recordEnd(now);
  }

  /** Applies the reported number of calls that wait at the replica, from all instances. */
  public observeWaiting(waiting: number, now: number): void {
    this.isCongested = waiting > this.options.targetWaiting;
    if (this.isCongested) {
      this.decrease(CONGESTION_FACTOR, now);
    }
  }

  private recordEnd(now: number): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    if (this.window < 1) {
      const pauseMilliseconds = this.callMilliseconds * (1 / this.window - 1);
      this.nextDispatchAt = now + Math.min(MAXIMUM_PROBE_INTERVAL_MILLISECONDS, pauseMilliseconds);
    }
  }

  /**
   * Grows the window by the time elapsed and not by the number of calls ended, which lets small
   * windows catch up with large ones.
   */
  private grow(now: number): void {
    const elapsedRounds = (now - this.lastGrowthAt) / this.callMilliseconds;
    this.window = this.clamp(
      this.window + GROWTH_PER_ROUND * Math.min(MAXIMUM_ROUNDS_PER_GROWTH, elapsedRounds),
    );
    this.lastGrowthAt = now;
  }

  /** Shrinks the window, at most once per round, since reports lag behind. */
  private decrease(factor: number, now: number): void {
    if (now - this.lastDecreaseAt < this.callMilliseconds) {
      return;
    }
    this.lastDecreaseAt = now;
    this.window = this.clamp(this.window * factor);
  }

  private clamp(window: number): number {
    return Math.min(this.options.maximumCalls, Math.max(MINIMUM_WINDOW, window));
  }
}
