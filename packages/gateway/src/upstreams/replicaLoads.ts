import type { TimerService } from '@zincring/core';

import type { ReplicaEntry, ReplicaRunId } from './replica.js';

import { ReplicaAgent } from './replicaAgent.js';

/** How an attempt at a replica ended, as far as it says something of the replica. */
export type AttemptEnd = 'answered' | 'failed' | 'full' | 'misdirected' | 'unreachable';

/** What this instance knows of one run of a replica by its own use. */
export interface ReplicaLoadState {
  readonly agent: ReplicaAgent;
  /** Requests that this instance has there now. */
  inFlight: number;
  /** Failures in a row. */
  failures: number;
  /** Until when the replica is used only if there is no other, by the steady clock. */
  avoidedUntil: number;
}

/** First time for which a failing replica is avoided, in milliseconds: about one of its heartbeats. */
const AVOID_MILLISECONDS = 1_000;
/** Longest time for which a failing replica is avoided, in milliseconds: its entry lapses by then. */
const LONGEST_AVOID_MILLISECONDS = 8_000;
/** Failed answers in a row after which a replica is avoided, whatever its health checks say. */
const FAILURES_IN_A_ROW = 2;
/** Time for which a replica that refused for lack of room is avoided, in milliseconds: about one short call. */
const FULL_MILLISECONDS = 100;

/**
 * The use that this instance makes of each replica: connections, requests in flight and recent
 * failures, by which replicas that fail are left alone for a while.
 *
 * @example
 * loads.of(entry).inFlight++;
 */
export class ReplicaLoads {
  private readonly states = new Map<ReplicaRunId, ReplicaLoadState>();

  public constructor(
    private readonly timers: TimerService,
    private readonly connectionsPerReplica: (entry: ReplicaEntry) => number,
  ) {}

  /** The state of a run, made on first use. */
  public of(entry: ReplicaEntry): ReplicaLoadState {
    const known = this.states.get(entry.runId);
    if (known !== undefined) {
      return known;
    }
    const state: ReplicaLoadState = {
      agent: new ReplicaAgent(this.connectionsPerReplica(entry)),
      avoidedUntil: -Infinity,
      failures: 0,
      inFlight: 0,
    };
    this.states.set(entry.runId, state);
    return state;
  }

  /** Whether a replica is left alone for now. */
  public isAvoided(entry: ReplicaEntry): boolean {
    return this.of(entry).avoidedUntil > this.timers.now();
  }

  /** Takes in how an attempt ended. */
  public noteEnd(entry: ReplicaEntry, end: AttemptEnd): void {
    const state = this.of(entry);
    switch (end) {
      case 'answered':
        state.failures = 0;
        return;
      case 'failed':
        // One failure is the request's own as often as the replica's.
        if (++state.failures >= FAILURES_IN_A_ROW) {
          state.avoidedUntil = this.timers.now() + avoidTime(state.failures - FAILURES_IN_A_ROW);
        }
        return;
      case 'full':
        state.avoidedUntil = Math.max(state.avoidedUntil, this.timers.now() + FULL_MILLISECONDS);
        return;
      case 'misdirected':
        state.avoidedUntil = this.timers.now() + LONGEST_AVOID_MILLISECONDS;
        return;
      case 'unreachable':
        state.avoidedUntil = this.timers.now() + avoidTime(state.failures++);
        return;
      default:
        end satisfies never;
    }
  }

  /** Closes the idle connections of runs that are gone and forgets the runs. */
  public retain(runs: ReadonlySet<ReplicaRunId>): void {
    for (const [run, state] of this.states) {
      if (!runs.has(run) && state.inFlight === 0) {
        state.agent.destroy();
        this.states.delete(run);
      }
    }
  }
}

function avoidTime(failures: number): number {
  return Math.min(LONGEST_AVOID_MILLISECONDS, AVOID_MILLISECONDS * 2 ** Math.min(failures, 8));
}
