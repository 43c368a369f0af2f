import type { Logger, TimerService, TimerSubscription } from '@zincring/core';

import type { ReplicaEntry, ReplicaRunId } from '../replica.js';
import type { ExchangeWatch } from './exchangeWatch.js';

/**
 * Whether this instance reaches replicas directly: `suspected` while probes are in progress, `stranded`
 * if none of the probed replicas could be reached.
 */
export type Reachability = 'reachable' | 'stranded' | 'suspected';

/** Dependencies of {@link ReplicaReachability}. */
export interface ReplicaReachabilityDependencies {
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  /** Returns the registered replicas of all services. */
  readonly listReplicas: () => readonly ReplicaEntry[];
  /** Opens and closes a connection to a replica; returns whether it opened within the probe timeout. */
  readonly probe: (entry: ReplicaEntry) => Promise<boolean>;
}

interface Exchange {
  readonly run: ReplicaRunId;
  /** Time at which it began or last received data, on the monotonic clock, in milliseconds. */
  lastActiveAt: number;
  /** Ends an exchange that may be repeated elsewhere; does nothing for one that may not. */
  abandon: () => void;
}

/** Time without data from any replica, while several should respond, after which the links are probed, in milliseconds. */
const SUSPICIOUS_SILENCE_MILLISECONDS = 400;
/** Number of replicas whose failure at the same time is suspicious: one may fail or fall silent by itself. */
const SUSPICIOUS_REPLICAS = 2;
/** Time within which connections that do not open count together, in milliseconds. */
const FAILURE_WINDOW_MILLISECONDS = 2_000;
/** Time for which data from any replica shows that the links work, in milliseconds. */
const EVIDENCE_MILLISECONDS = 250;
/** Silence after which an exchange of a stranded instance is abandoned, in milliseconds: longer than a sound replica may be silent. */
const ABANDON_MILLISECONDS = 1_250;
/** Number of replicas that are probed at the same time. */
const PROBED_REPLICAS = 3;
/** Interval between probes while the instance is stranded, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 500;

/**
 * Decides whether this instance has lost its links to all replicas, from connections that do not open and
 * from replicas that fall silent together. A suspicion is confirmed or dismissed by new connections to other
 * replicas: a replica that fails or is slow by itself never makes the instance stranded.
 *
 * @example
 * const watch = reachability.watch(entry, true);
 * reachability.state; // 'reachable'
 */
export class ReplicaReachability {
  private currentState: Reachability = 'reachable';
  private readonly exchanges = new Set<Exchange>();
  /** Times at which connections to replicas did not open, since one last opened, on the monotonic clock, in milliseconds. */
  private readonly connectionFailures = new Map<ReplicaRunId, number>();
  private lastDataAt = -Infinity;
  private probeTimer: TimerSubscription | undefined;
  private isProbing = false;

  public constructor(private readonly dependencies: ReplicaReachabilityDependencies) {}

  public get state(): Reachability {
    return this.currentState;
  }

  /** Whether data from a replica has arrived so recently that the links are known to work. */
  public get hasEvidence(): boolean {
    return this.dependencies.timers.now() - this.lastDataAt < EVIDENCE_MILLISECONDS;
  }

  /**
   * Starts to observe an exchange with a replica.
   *
   * @param isRepeatable whether the exchange may be ended when its path is lost, and repeated elsewhere
   */
  public watch({ runId }: ReplicaEntry, isRepeatable: boolean): ExchangeWatch {
    const { timers } = this.dependencies;
    this.suspectSilence();
    const exchange: Exchange = {
      abandon: () => undefined,
      lastActiveAt: timers.now(),
      run: runId,
    };
    return {
      onConnected: () => {
        this.lastDataAt = timers.now();
        this.connectionFailures.clear();
      },
      onConnectionFailed: () => {
        this.connectionFailures.set(runId, timers.now());
        this.suspectFailures();
      },
      onData: () => {
        exchange.lastActiveAt = timers.now();
        this.lastDataAt = exchange.lastActiveAt;
      },
      onEnded: () => {
        this.exchanges.delete(exchange);
      },
      onStarted: abandon => {
        exchange.abandon = isRepeatable ? abandon : exchange.abandon;
        this.exchanges.add(exchange);
      },
    };
  }

  /** Stops probing. */
  public stop(): void {
    this.probeTimer?.stop();
  }

  private suspectSilence(): void {
    const silentSince = this.dependencies.timers.now() - SUSPICIOUS_SILENCE_MILLISECONDS;
    if (this.lastDataAt > silentSince) {
      return;
    }
    const silent = [...this.exchanges].filter(({ lastActiveAt }) => lastActiveAt <= silentSince);
    if (new Set(silent.map(({ run }) => run)).size >= SUSPICIOUS_REPLICAS) {
      this.suspect();
    }
  }

  private suspectFailures(): void {
    const windowStart = this.dependencies.timers.now() - FAILURE_WINDOW_MILLISECONDS;
    const recent = [...this.connectionFailures.values()].filter(at => at >= windowStart);
    const registered = this.dependencies.listReplicas().length;
    if (recent.length >= Math.min(SUSPICIOUS_REPLICAS, registered)) {
      this.suspect();
    }
  }

  private suspect(): void {
    if (this.currentState === 'reachable') {
      this.currentState = 'suspected';
      void this.probe();
    }
  }

  private async probe(): Promise<void> {
    if (this.isProbing) {
      return;
    }
    this.isProbing = true;
    const replicas = this.pickReplicas();
    const results = await Promise.all(replicas.map(async entry => this.dependencies.probe(entry)));
    this.isProbing = false;
    if (replicas.length === 0 || results.includes(true)) {
      this.recordReachable();
      return;
    }
    this.recordStranded(replicas);
  }

  private pickReplicas(): readonly ReplicaEntry[] {
    const { listReplicas, random } = this.dependencies;
    return listReplicas()
      .map(entry => ({ entry, position: random() }))
      .sort((left, right) => left.position - right.position)
      .slice(0, PROBED_REPLICAS)
      .map(({ entry }) => entry);
  }

  private recordReachable(): void {
    this.probeTimer?.stop();
    this.probeTimer = undefined;
    if (this.currentState === 'stranded') {
      this.dependencies.logger.info(
        { event: 'replicas-reachable' },
        'this instance reaches replicas again',
      );
    }
    this.currentState = 'reachable';
    this.connectionFailures.clear();
    this.lastDataAt = this.dependencies.timers.now();
  }

  private recordStranded(probed: readonly ReplicaEntry[]): void {
    const { logger, timers } = this.dependencies;
    if (this.currentState !== 'stranded') {
      logger.warn(
        { event: 'replicas-unreachable', probed: probed.map(({ id }) => id).join(' ') },
        'this instance reaches no replica; other instances relay its requests',
      );
    }
    this.currentState = 'stranded';
    this.probeTimer ??= timers.every(PROBE_INTERVAL_MILLISECONDS, () => {
      void this.probe();
    });
    this.abandonSilentExchanges();
  }

  private abandonSilentExchanges(): void {
    const silentSince = this.dependencies.timers.now() - ABANDON_MILLISECONDS;
    for (const { abandon, lastActiveAt } of this.exchanges) {
      if (lastActiveAt <= silentSince) {
        abandon();
      }
    }
  }
}
