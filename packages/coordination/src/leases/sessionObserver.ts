import type { IncarnationId, TimerService } from '@zincring/core';
import type { Row } from '@zincring/platform';

interface Observation {
  readonly version: number;
  /** When the first read that showed the version had been answered. */
  readonly since: number;
}

/**
 * Watches the sessions of others. A session has expired for an observer once it has seen its row
 * unchanged for a whole term on its own monotonic clock, by reads that were answered.
 */
export class SessionObserver {
  private readonly observations = new Map<IncarnationId, Observation>();

  public constructor(
    private readonly timers: TimerService,
    private readonly termMilliseconds: number,
  ) {}

  /**
   * Notes a row that was read.
   *
   * @param readStartedAt monotonic time before the read was sent
   * @returns whether the session has expired at this version
   */
  public observe(incarnation: IncarnationId, row: Row, readStartedAt: number): boolean {
    if (row.version === 0) {
      this.observations.delete(incarnation);
      return true;
    }
    const earlier = this.observations.get(incarnation);
    if (earlier?.version !== row.version) {
      this.observations.set(incarnation, { since: this.timers.now(), version: row.version });
      return false;
    }
    return readStartedAt >= earlier.since + this.termMilliseconds;
  }

  /** Forgets sessions that are no longer of interest, so that the state stays bounded. */
  public retain(incarnations: ReadonlySet<IncarnationId>): void {
    for (const incarnation of this.observations.keys()) {
      if (!incarnations.has(incarnation)) {
        this.observations.delete(incarnation);
      }
    }
  }
}
