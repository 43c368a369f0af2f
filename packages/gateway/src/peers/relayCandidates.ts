import type { Region, TimerService } from '@zincring/core';

/** Time for which an instance that could not relay a request is not chosen, in milliseconds; it doubles while it cannot. */
const INITIAL_AVOID_MILLISECONDS = 500;
/** Maximum of this time, in milliseconds. */
const MAXIMUM_AVOID_MILLISECONDS = 4_000;

interface AvoidedCandidate {
  readonly failures: number;
  readonly until: number;
}

/**
 * Chooses the instances that relay requests at random, so that each of them relays a part. Instances that could
 * not are left out for a time: they may be stranded as well.
 *
 * @example
 * const address = candidates.choose(); // '10.1.0.11:7780'
 */
export class RelayCandidates {
  private readonly avoided = new Map<string, AvoidedCandidate>();

  public constructor(
    /** Returns the addresses of the other registered instances in these regions, or of all if `undefined`. */
    private readonly listAddresses: (
      permittedRegions: ReadonlySet<Region> | undefined,
    ) => readonly string[],
    private readonly timers: TimerService,
    private readonly random: () => number,
  ) {}

  /** Chooses an instance, in the given regions if the request may be sent to these alone; `undefined` if there is none. */
  public choose(permittedRegions?: ReadonlySet<Region>): string | undefined {
    const now = this.timers.now();
    const usable = this.listAddresses(permittedRegions).filter(
      address => (this.avoided.get(address)?.until ?? -Infinity) <= now,
    );
    return usable[Math.floor(this.random() * usable.length)];
  }

  /** Records that an instance could not relay a request. */
  public recordFailure(address: string): void {
    const failures = (this.avoided.get(address)?.failures ?? 0) + 1;
    const avoidMilliseconds = Math.min(
      MAXIMUM_AVOID_MILLISECONDS,
      INITIAL_AVOID_MILLISECONDS * 2 ** (failures - 1),
    );
    this.avoided.set(address, { failures, until: this.timers.now() + avoidMilliseconds });
  }

  /** Records that an instance relayed a request. */
  public recordSuccess(address: string): void {
    this.avoided.delete(address);
  }
}
