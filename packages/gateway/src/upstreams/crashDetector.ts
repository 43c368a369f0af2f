import type { Logger, ProbeOutcome, TimerService, ZincringError } from '@zincring/core';
import type { BodyDigest } from '@zincring/scheduling';

import type { RunnableRequest } from './attemptLoop.js';
import type { CrashRecord } from './crashRecord.js';
import type { ReplicaEntry, ReplicaRunId } from './replica.js';
import type { ReplicaChange, ReplicaDirectory } from './replicaDirectory.js';
import type { ExchangeOutcome } from './replicaExchange.js';

/** Dependencies of a {@link CrashDetector}. */
export interface CrashDetectorDependencies {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly record: CrashRecord;
  readonly directory: Pick<ReplicaDirectory, 'findReplicas' | 'subscribe'>;
  /** Whether a replica announced that it is about to leave. */
  readonly isLeaving: (entry: ReplicaEntry) => boolean;
  /** Whether failures of connections may be due to the links of this instance. */
  readonly isPathSuspect: () => boolean;
  /** Opens and closes a connection to a replica. */
  readonly probe: (entry: ReplicaEntry) => Promise<ProbeOutcome>;
}

/** End of an exchange with a replica. */
export interface ExchangeEnd {
  readonly entry: ReplicaEntry;
  readonly outcome: ExchangeOutcome;
  readonly end: 'lost' | 'not-run' | 'served';
  /** Whether the exchange was ended at the deadline or for a caller who left. */
  readonly isAborted: boolean;
  /** Time at which the exchange began, on the monotonic clock, in milliseconds. */
  readonly sentAt: number;
}

interface BrokenExchange {
  readonly identity: BodyDigest;
  /** Times at which the exchange began and broke, on the monotonic clock, in milliseconds. */
  readonly sentAt: number;
  readonly brokenAt: number;
}

interface SuspectRun {
  readonly entry: ReplicaEntry;
  readonly exchanges: Map<BodyDigest, BrokenExchange>;
  isProbing: boolean;
}

/** Time for which the registration of a replica may confirm that it crashed, in milliseconds: it lapses or is replaced by then. */
const SUSPICION_MILLISECONDS = 5_000;
/** Pause before a replica is probed, in milliseconds: a process that ends may close its connections before it stops listening. */
const PROBE_DELAY_MILLISECONDS = 100;
/** Maximum number of runs that are suspected to have crashed. */
const MAXIMUM_SUSPECT_RUNS = 1_000;

/**
 * Decides whether a broken exchange is due to a crash of its replica. A connection that breaks is no evidence
 * by itself: it may have been reset on the way. A replica that accepts a new connection has not crashed; one that
 * refuses it has, and so has one that is silent and whose registration goes or is replaced without notice.
 *
 * @example
 * detector.recordEnd(request, { end: result.kind, entry, isAborted, outcome, sentAt });
 */
export class CrashDetector {
  /** Ordered by the first broken exchange: a map keeps the order of insertion. */
  private readonly suspectRuns = new Map<ReplicaRunId, SuspectRun>();

  public constructor(private readonly dependencies: CrashDetectorDependencies) {
    dependencies.directory.subscribe(change => {
      this.applyChange(change);
    });
  }

  /** Returns the refusal of a request that has crashed too many replicas, or `undefined`. */
  public check(request: RunnableRequest): ZincringError | undefined {
    return this.dependencies.record.check(request);
  }

  /** Records the end of an exchange. */
  public recordEnd(request: RunnableRequest, exchange: ExchangeEnd): void {
    const { isPathSuspect } = this.dependencies;
    const { end, entry, isAborted, outcome, sentAt } = exchange;
    if (end === 'served') {
      this.recordServed(request, sentAt);
      return;
    }
    if (
      end === 'lost' &&
      hasBrokenOff(outcome) &&
      !isAborted &&
      !isPathSuspect() &&
      !this.isLeaving(entry)
    ) {
      this.recordBreak(request, entry, sentAt);
    }
  }

  private recordServed(request: RunnableRequest, sentAt: number): void {
    const suspect = this.dependencies.record.recordServed(request, sentAt);
    if (suspect === undefined) {
      return;
    }
    for (const { exchanges } of this.suspectRuns.values()) {
      if ((exchanges.get(suspect)?.brokenAt ?? Infinity) <= sentAt) {
        exchanges.delete(suspect);
      }
    }
  }

  private recordBreak(request: RunnableRequest, entry: ReplicaEntry, sentAt: number): void {
    this.dropExpired();
    const identity = this.dependencies.record.suspect(request);
    const run = this.findOrAddRun(entry);
    const brokenAt = this.dependencies.timers.now();
    run.exchanges.set(identity, { brokenAt, identity, sentAt });
    if (!run.isProbing) {
      this.scheduleProbe(run);
    }
  }

  private scheduleProbe(run: SuspectRun): void {
    run.isProbing = true;
    this.dependencies.timers.after(PROBE_DELAY_MILLISECONDS, () => {
      void this.probe(run);
    });
  }

  private isLeaving(entry: ReplicaEntry): boolean {
    const { directory, isLeaving } = this.dependencies;
    return (
      isLeaving(entry) ||
      directory
        .findReplicas(entry.service)
        .some(({ isDraining, runId }) => isDraining && runId === entry.runId)
    );
  }

  private findOrAddRun(entry: ReplicaEntry): SuspectRun {
    const known = this.suspectRuns.get(entry.runId);
    if (known !== undefined) {
      return known;
    }
    const run = { entry, exchanges: new Map<BodyDigest, BrokenExchange>(), isProbing: false };
    this.suspectRuns.set(entry.runId, run);
    return run;
  }

  private async probe(run: SuspectRun): Promise<void> {
    const startedAt = this.dependencies.timers.now();
    const outcome = await this.dependencies.probe(run.entry);
    run.isProbing = false;
    if (outcome === 'refused') {
      this.confirm(run, 'it refuses connections');
      return;
    }
    if (outcome === 'open') {
      for (const [identity, { brokenAt }] of run.exchanges) {
        if (brokenAt <= startedAt) {
          run.exchanges.delete(identity);
        }
      }
    }
    if ([...run.exchanges.values()].some(({ brokenAt }) => brokenAt > startedAt)) {
      this.scheduleProbe(run);
    }
  }

  private applyChange(change: ReplicaChange): void {
    if (this.suspectRuns.size === 0) {
      return;
    }
    this.dropExpired();
    for (const run of this.suspectRuns.values()) {
      const { id, runId } = run.entry;
      if (change.kind === 'gone') {
        if (change.id === id) {
          this.confirm(run, 'its registration is gone');
        }
      } else if (change.entry.runId !== runId) {
        if (replaces(change.entry, run.entry)) {
          this.confirm(run, 'another run has replaced it');
        }
      } else if (change.entry.isDraining) {
        this.suspectRuns.delete(runId);
      }
    }
  }

  private confirm(run: SuspectRun, evidence: string): void {
    const { logger, record } = this.dependencies;
    this.suspectRuns.delete(run.entry.runId);
    for (const { brokenAt, identity, sentAt } of run.exchanges.values()) {
      logger.warn(
        { content: identity, event: 'replica-crashed', evidence, replica: run.entry.id },
        'a replica crashed while it ran a request',
      );
      record.record({ crashedAt: brokenAt, entry: run.entry, identity, sentAt });
    }
    run.exchanges.clear();
  }

  private dropExpired(): void {
    const expiredBefore = this.dependencies.timers.now() - SUSPICION_MILLISECONDS;
    for (const [runId, { exchanges }] of this.suspectRuns) {
      for (const [identity, { brokenAt }] of exchanges) {
        if (brokenAt < expiredBefore) {
          exchanges.delete(identity);
        }
      }
      if (exchanges.size > 0 && this.suspectRuns.size <= MAXIMUM_SUSPECT_RUNS) {
        return;
      }
      this.suspectRuns.delete(runId);
    }
  }
}

/** Whether an exchange ended by itself before its response was complete, as far as its connection shows. */
function hasBrokenOff(outcome: ExchangeOutcome): boolean {
  if (outcome.kind !== 'answered') {
    return outcome.kind === 'lost' && !outcome.isPathFault;
  }
  const { connectionFailure, framing } = outcome.response;
  // Without framing a response that breaks off ends like one that is complete.
  return connectionFailure() !== undefined || framing === 'connection';
}

function replaces(entry: ReplicaEntry, former: ReplicaEntry): boolean {
  return entry.id === former.id || (entry.host === former.host && entry.port === former.port);
}
