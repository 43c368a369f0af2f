import type { ServiceName, TimerService } from '@zincring/core';

/** Turns of one instance in flight at engines, by service; services without turns are left out. */
export type EngineTurnCounts = Readonly<Record<string, number>>;

/** What this instance knows of the turns of one service. */
interface ServiceTurns {
  inFlight: number;
  /** Mean number of turns in flight at another instance. */
  peerMean: number;
}

/** Dependencies of {@link EngineLoads}. */
export interface EngineLoadsDependencies {
  readonly timers: TimerService;
  /** Returns the number of other instances. */
  readonly countPeers: () => number;
}

/** Weight of one sample in the mean over the other instances: about as many samples count as one over it. */
const SAMPLE_WEIGHT = 0.1;
/** Number of samples below which the other instances are unknown. */
const MINIMUM_SAMPLES = 10;
/** Time after which the samples say nothing about the present, in milliseconds: the length of a burst. */
const MAXIMUM_SAMPLE_AGE_MILLISECONDS = 3_000;

/**
 * Estimates how many turns all instances together have in flight at the engines of a service. Each
 * reply to a call between instances carries the counts of the one that replies; owners are chosen by
 * hashing, so these are random samples of all instances, and no message is sent for them.
 *
 * @example
 * const end = loads.begin(service.name);
 * loads.recordPeer({ 'minutes-llm': 3 });
 * loads.estimateTurns(service.name); // 240, or undefined while too little is known
 */
export class EngineLoads {
  private readonly services = new Map<ServiceName, ServiceTurns>();
  private samples = 0;
  private sampledAt = -Infinity;

  public constructor(private readonly dependencies: EngineLoadsDependencies) {}

  /** Counts a turn that is sent to an engine; the returned function ends it. */
  public begin(service: ServiceName): () => void {
    const turns = this.findOrAdd(service);
    turns.inFlight++;
    return () => {
      turns.inFlight--;
    };
  }

  /** Number of turns of this instance in flight at all engines. */
  public countInFlight(): number {
    return [...this.services.values()].reduce((sum, { inFlight }) => sum + inFlight, 0);
  }

  /** Counts of this instance, as another instance receives them. */
  public get ownCounts(): EngineTurnCounts {
    const busy = [...this.services].filter(([, { inFlight }]) => inFlight > 0);
    return Object.fromEntries(busy.map(([service, { inFlight }]) => [service, inFlight]));
  }

  /** Takes in the counts of another instance. */
  public recordPeer(counts: EngineTurnCounts): void {
    this.samples++;
    this.sampledAt = this.dependencies.timers.now();
    Object.keys(counts).forEach(service => this.findOrAdd(service as ServiceName));
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.samples);
    for (const [service, turns] of this.services) {
      turns.peerMean += weight * ((counts[service] ?? 0) - turns.peerMean);
    }
  }

  /** Estimates the turns of all instances in flight; `undefined` while too little is known of the others. */
  public estimateTurns(service: ServiceName): number | undefined {
    const { countPeers, timers } = this.dependencies;
    const peers = countPeers();
    const { inFlight, peerMean } = this.findOrAdd(service);
    if (peers === 0) {
      return inFlight;
    }
    const isKnown =
      this.samples >= MINIMUM_SAMPLES &&
      timers.now() - this.sampledAt <= MAXIMUM_SAMPLE_AGE_MILLISECONDS;
    return isKnown ? inFlight + peers * peerMean : undefined;
  }

  private findOrAdd(service: ServiceName): ServiceTurns {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const turns = { inFlight: 0, peerMean: 0 };
    this.services.set(service, turns);
    return turns;
  }
}
