import type { Brand, Logger, TimerService } from '@zincring/core';
import type { PartitionedTable, RowAddress } from '@zincring/platform';
import type { BodyDigest } from '@zincring/scheduling';

import { ZincringError } from '@zincring/core';
import { LRUCache } from 'lru-cache';

import type { KnownRow, RowEdit } from '../store/editRow.js';
import type { SweptTable } from '../store/rowSweeper.js';
import type { RunnableRequest } from './attemptLoop.js';
import type { CrashRecord } from './crashRecord.js';
import type { RunOutcome } from './runOutcome.js';

import { absentRow, editRow } from '../store/editRow.js';
import { isNumber, isTextList, toFields } from '../util/jsonFields.js';
import { REFUSAL_MILLISECONDS } from './crashRecord.js';
import { hasNotRun } from './runOutcome.js';

/** Dependencies of {@link CrashTrials}. */
export interface CrashTrialsDependencies {
  readonly record: Pick<CrashRecord, 'findSuspect'>;
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Returns a random number between 0 and 1. */
  readonly random: () => number;
  /** Generates an identifier that no other instance generates. */
  readonly makeId: () => string;
}

/** Identifier of a trial, unique across the fleet. */
type TrialId = Brand<string, 'TrialId'>;

/** Trials of one identity that have been taken and not given back. */
interface StoredTrials {
  readonly trials: readonly TrialId[];
  /** Time at which the last one was taken, on the wall clock, in milliseconds. */
  readonly at: number;
}

/** Table with the trials of requests that may have crashed replicas. */
const TRIAL_TABLE = 'crash-trials';
/** Number of times that a request may run after a crash: the maximum that the operator accepts after the third. */
const MAXIMUM_TRIALS = 3;
/** Time after which an instance asks again whether a trial is left, in milliseconds. */
const SPENT_MILLISECONDS = 2_000;
/** Maximum number of identities of which an instance remembers what is left. */
const MAXIMUM_IDENTITIES = 2_000;
/** Retry delay for callers whose request waits for the trial of another one, in seconds: longer than most trials. */
const RETRY_AFTER_SECONDS = 0.5;
/** Number of store failures up to which a trial is taken or given back again. */
const MAXIMUM_FAILURES = 1;

/** Description of the trials for the removal of expired rows. */
export const sweptTrials: SweptTable = {
  expiresAt: row => (JSON.parse(row.value.toString()) as StoredTrials).at + REFUSAL_MILLISECONDS,
  keysOf: row => [row.key],
  partitions: [''],
  table: TRIAL_TABLE,
};

/**
 * Limits how often a request runs that may have crashed a replica. Replicas that crash at the same time count as
 * one crash, since an outage takes several down together; but a caller may also send a request that crashes
 * replicas to several instances at once, again and again. After the first crash such a request therefore runs as a
 * trial only: a few times in all instances together, once at a time in each, and with one attempt. A trial that is
 * served clears the request.
 *
 * @example
 * const outcome = await trials.run(request, signal, async admitted => await attempt(admitted));
 */
export class CrashTrials {
  /** Identities of which this instance has a trial under way. */
  private readonly underWay = new Set<BodyDigest>();
  /** Time until which no trial of an identity is asked for, on the monotonic clock, in milliseconds. */
  private readonly spentUntil = new LRUCache<BodyDigest, number>({ max: MAXIMUM_IDENTITIES });
  /** Number of trials that this instance has run while the store did not answer. */
  private readonly ownTrials = new LRUCache<BodyDigest, number>({ max: MAXIMUM_IDENTITIES });

  public constructor(private readonly dependencies: CrashTrialsDependencies) {}

  /** Runs a request, as a trial if it may have crashed replicas; refuses it if no trial is left. */
  public async run(
    request: RunnableRequest,
    signal: AbortSignal,
    attempt: (request: RunnableRequest) => Promise<RunOutcome>,
  ): Promise<RunOutcome> {
    const identity = this.dependencies.record.findSuspect(request);
    if (identity === undefined) {
      return await attempt(request);
    }
    const refusal: RunOutcome = { error: makeRefusal(), kind: 'failed' };
    if (this.underWay.has(identity) || this.isSpent(identity)) {
      return refusal;
    }
    this.underWay.add(identity);
    try {
      return (await this.runTrial(identity, request, signal, attempt)) ?? refusal;
    } finally {
      this.underWay.delete(identity);
    }
  }

  /** Takes a trial and runs it; `undefined` if none is left. */
  private async runTrial(
    identity: BodyDigest,
    request: RunnableRequest,
    signal: AbortSignal,
    attempt: (request: RunnableRequest) => Promise<RunOutcome>,
  ): Promise<RunOutcome | undefined> {
    const { logger, makeId } = this.dependencies;
    const trial = makeId() as TrialId;
    const taken = await this.take(identity, trial, signal);
    logger.info(
      { content: identity, event: 'crash-trial', isTaken: taken !== undefined, trial },
      'a request may have crashed a replica, so it runs a limited number of times',
    );
    if (taken === undefined) {
      return undefined;
    }
    const outcome = await attempt({ ...request, route: { ...request.route, maximumAttempts: 1 } });
    if (outcome.kind === 'served') {
      this.ownTrials.delete(identity);
      void this.giveBack(identity, taken, () => []);
    } else if (hasNotRun(outcome)) {
      void this.giveBack(identity, taken, trials => trials.filter(other => other !== trial));
    }
    return outcome;
  }

  private isSpent(identity: BodyDigest): boolean {
    return this.dependencies.timers.now() < (this.spentUntil.get(identity) ?? -Infinity);
  }

  /** Takes a trial; returns its row, or `undefined` if none is left. */
  private async take(
    identity: BodyDigest,
    trial: TrialId,
    signal: AbortSignal,
  ): Promise<KnownRow | undefined> {
    const { random, table, timers } = this.dependencies;
    const options = { maximumFailures: MAXIMUM_FAILURES, random, readsFirst: false, signal };
    const edit = (row: KnownRow): RowEdit<boolean> => {
      const trials = this.readTrials(row);
      if (trials.includes(trial) || trials.length >= MAXIMUM_TRIALS) {
        return { kind: 'leave', result: trials.includes(trial) };
      }
      return { kind: 'write', result: true, value: this.encode([...trials, trial]) };
    };
    const edited = await editRow(table, timers, toAddress(identity), absentRow, edit, options);
    if (edited.err) {
      return this.takeOwn(identity) ? absentRow : undefined;
    }
    if (edited.val.result) {
      return edited.val.row;
    }
    this.spentUntil.set(identity, timers.now() + SPENT_MILLISECONDS);
    return undefined;
  }

  /** Takes a trial that the store does not count: without it each instance runs as many as all may together. */
  private takeOwn(identity: BodyDigest): boolean {
    const taken = this.ownTrials.get(identity) ?? 0;
    this.ownTrials.set(identity, Math.min(taken + 1, MAXIMUM_TRIALS));
    return taken < MAXIMUM_TRIALS;
  }

  /** Gives trials back that did not run, or that showed that the request crashes no replica. */
  private async giveBack(
    identity: BodyDigest,
    known: KnownRow,
    change: (trials: readonly TrialId[]) => readonly TrialId[],
  ): Promise<void> {
    const { logger, random, table, timers } = this.dependencies;
    const { signal } = new AbortController();
    const options = { maximumFailures: MAXIMUM_FAILURES, random, readsFirst: false, signal };
    const edit = (row: KnownRow): RowEdit<void> => {
      const trials = this.readTrials(row);
      const remaining = change(trials);
      return remaining.length === trials.length
        ? { kind: 'leave', result: undefined }
        : { kind: 'write', result: undefined, value: this.encode(remaining) };
    };
    const edited = await editRow(table, timers, toAddress(identity), known, edit, options);
    if (edited.err) {
      logger.warn(
        { content: identity, event: 'crash-trial-kept', failure: edited.val.message },
        'a trial that showed no crash could not be given back',
      );
    }
  }

  private readTrials({ value }: KnownRow): readonly TrialId[] {
    if (value === undefined) {
      return [];
    }
    const { at, trials } = toFields(JSON.parse(value.toString()));
    const age = isNumber(at) ? this.dependencies.timers.wallClock() - at : Infinity;
    return isTextList(trials) && Math.abs(age) < REFUSAL_MILLISECONDS
      ? (trials as readonly TrialId[])
      : [];
  }

  private encode(trials: readonly TrialId[]): Buffer {
    const stored: StoredTrials = { at: this.dependencies.timers.wallClock(), trials };
    return Buffer.from(JSON.stringify(stored));
  }
}

function makeRefusal(): ZincringError {
  return new ZincringError('upstream-unavailable', {
    detail:
      'the request may have crashed a replica, and no trial of it is left or one is under way',
    retryAfterSeconds: RETRY_AFTER_SECONDS,
  });
}

function toAddress(identity: BodyDigest): RowAddress {
  return { key: identity, partition: '', table: TRIAL_TABLE };
}
