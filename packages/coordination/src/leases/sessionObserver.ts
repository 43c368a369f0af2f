import type { IncarnationId, TimerService } from '@zincring/core';
import type { Row } from '@zincring/platform';

interface Observation {
  readonly version: number;
  /** Monotonic time at which the first response with this version had arrived, in milliseconds. */
  readonly firstSeenAt: number;
}

/**
 * Detects expired sessions of other incarnations. A session counts as expired once successful
 * reads have shown its row unchanged for a full term on the observer's own monotonic clock.
 */
export class SessionObserver {
  private readonly observations = new Map<IncarnationId, Observation>();

  public constructor(
    private readonly timers: TimerService,
    private readonly termMilliseconds: number,
  ) {}

  /**
   * Records a row that was read.
   *
   * @param readStartedAt monotonic time before the read was sent, in milliseconds
   * @returns whether the session has expired at this version
   */
  public observe(incarnation: IncarnationId, row: Row, readStartedAt: number): boolean {
    if (row.version === 0) {
      this.observations.delete(incarnation);
      return true;
    }
    const previous = this.observations.get(incarnation);
    if (previous?.version !== row.version) {
      this.observations.set(incarnation, { firstSeenAt: this.timers.now(), version: row.version });
      return false;
    }
    return readStartedAt >= previous.firstSeenAt + this.termMilliseconds;
  }

  /** Forgets all sessions except those of the given incarnations, to bound the memory used. */
  public retain(incarnations: ReadonlySet<IncarnationId>): void {
    for (const incarnation of this.observations.keys()) {
      if (!incarnations.has(incarnation)) {
        this.observations.delete(incarnation);
      }
    }
  }
}
