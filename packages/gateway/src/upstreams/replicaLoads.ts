import type { TimerService } from '@zincring/core';

import { LRUCache } from 'lru-cache';

import type { ReplicaEntry, ReplicaRunId } from './replica.js';

import { ReplicaAgent } from './replicaAgent.js';

/** Outcome of an attempt, as evidence of the condition of the replica. */
export type AttemptEnd = 'answered' | 'failed' | 'full' | 'misdirected' | 'unreachable';

/** State of one run of a replica, as observed by this instance. */
export interface ReplicaLoadState {
  readonly agent: ReplicaAgent;
  /** Requests of this instance in flight at the replica. */
  inFlight: number;
  consecutiveFailures: number;
  /** Time until which the replica is used only if there is no other, on the monotonic clock, in milliseconds. */
  avoidedUntil: number;
}

/** Maximum number of leaving runs that are remembered. */
const MAXIMUM_LEAVING_RUNS = 1_000;
/** Initial time for which a failing replica is avoided, in milliseconds: about one of its heartbeat intervals. */
const INITIAL_AVOID_MILLISECONDS = 1_000;
/** Maximum time for which a failing replica is avoided, in milliseconds: its registration expires by then. */
const MAXIMUM_AVOID_MILLISECONDS = 8_000;
/** Consecutive failed responses after which a replica is avoided, whatever its health checks report. */
const AVOID_AFTER_FAILURES = 2;
/** Time for which a replica that refused for lack of capacity is avoided, in milliseconds: about one short call. */
const FULL_AVOID_MILLISECONDS = 100;

/** Share of the connections to a replica that requests may take which were sent ahead of the responses to others. */
const SENT_AHEAD_SHARE = 0.75;

/**
 * Tracks this instance's use of each replica: connections, requests in flight and recent failures.
 * Failing replicas are avoided for some time.
 *
 * @example
 * loads.findOrAddState(entry).inFlight++;
 */
export class ReplicaLoads {
  private readonly states = new Map<ReplicaRunId, ReplicaLoadState>();
  /** Runs that announced that they are about to leave; kept beyond their registration, which may lapse and return. */
  private readonly leavingRuns = new LRUCache<ReplicaRunId, true>({ max: MAXIMUM_LEAVING_RUNS });

  public constructor(
    private readonly timers: TimerService,
    private readonly getMaximumConnections: (entry: ReplicaEntry) => number,
  ) {}

  /** Finds the state of a run, or adds it on first use. */
  public findOrAddState(entry: ReplicaEntry): ReplicaLoadState {
    const known = this.states.get(entry.runId);
    if (known !== undefined) {
      return known;
    }
    const state: ReplicaLoadState = {
      agent: new ReplicaAgent(this.getMaximumConnections(entry)),
      avoidedUntil: -Infinity,
      consecutiveFailures: 0,
      inFlight: 0,
    };
    this.states.set(entry.runId, state);
    return state;
  }

  /** Number of requests of this instance in flight at all replicas. */
  public countInFlight(): number {
    return [...this.states.values()].reduce((sum, { inFlight }) => sum + inFlight, 0);
  }

  /** Whether the last places of a replica are left, which requests that were sent ahead do not take. */
  public isNearlyFull(entry: ReplicaEntry): boolean {
    const { inFlight } = this.findOrAddState(entry);
    return inFlight >= this.getMaximumConnections(entry) * SENT_AHEAD_SHARE;
  }

  /** Whether a replica is currently avoided. */
  public isAvoided(entry: ReplicaEntry): boolean {
    return this.findOrAddState(entry).avoidedUntil > this.timers.now();
  }

  /** Records that a replica announced that it is about to leave; no run of a replica ever returns from that. */
  public recordLeaving(entry: ReplicaEntry): void {
    this.leavingRuns.set(entry.runId, true);
  }

  /** Whether a replica announced that it is about to leave. */
  public isLeaving(entry: ReplicaEntry): boolean {
    return this.leavingRuns.has(entry.runId);
  }

  /** Records the end of an attempt. */
  public recordEnd(entry: ReplicaEntry, end: AttemptEnd): void {
    const state = this.findOrAddState(entry);
    switch (end) {
      case 'answered':
        state.consecutiveFailures = 0;
        return;
      case 'failed':
        // A single failure is as often caused by the request as by the replica.
        if (++state.consecutiveFailures >= AVOID_AFTER_FAILURES) {
          state.avoidedUntil =
            this.timers.now() +
            computeAvoidMilliseconds(state.consecutiveFailures - AVOID_AFTER_FAILURES);
        }
        return;
      case 'full':
        state.avoidedUntil = Math.max(
          state.avoidedUntil,
          this.timers.now() + FULL_AVOID_MILLISECONDS,
        );
        return;
      case 'misdirected':
        state.avoidedUntil = this.timers.now() + MAXIMUM_AVOID_MILLISECONDS;
        return;
      case 'unreachable':
        state.avoidedUntil =
          this.timers.now() + computeAvoidMilliseconds(state.consecutiveFailures++);
        return;
      default:
        end satisfies never;
    }
  }

  /** Closes the connections and discards the state of all runs but the given ones, once they have no requests in flight. */
  public retain(runs: ReadonlySet<ReplicaRunId>): void {
    for (const [run, state] of this.states) {
      if (!runs.has(run) && state.inFlight === 0) {
        state.agent.destroy();
        this.states.delete(run);
      }
    }
  }
}

function computeAvoidMilliseconds(consecutiveFailures: number): number {
  return Math.min(
    MAXIMUM_AVOID_MILLISECONDS,
    INITIAL_AVOID_MILLISECONDS * 2 ** Math.min(consecutiveFailures, 8),
  );
}
