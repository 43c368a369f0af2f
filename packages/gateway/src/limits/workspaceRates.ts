import type { InstanceId, Logger, Result, TimerService } from '@zincring/core';
import type { RowAddress } from '@zincring/platform';

import { Err, hash32, Ok, ZincringError } from '@zincring/core';

import type { GatewayWorkspace } from '../configuration/gatewayConfiguration.js';
import type { WatchedTable } from '../store/watchedTable.js';
import type { KnownRow } from '../store/editRow.js';
import type { CreditAnswer } from './workspaceCredit.js';
import type { CreditGrant, RateLimit, WorkspaceBucket } from './rateRow.js';

import { elapsedSince, momentOf } from '../configuration/contactAge.js';
import { absentRow, editRow } from '../store/editRow.js';
import { grantCredit, IMMEDIATE_MILLISECONDS } from './rateRow.js';
import { ProgramSize } from './programSize.js';
import { WorkspaceCredit } from './workspaceCredit.js';

/** The place of an admitted request within its workspace's rate. */
export interface RateAdmission {
  /** Frees the place of a request that did not run. */
  giveBack(): void;
}

/** What a {@link WorkspaceRates} works with. */
export interface WorkspaceRatesParts {
  readonly table: WatchedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly instance: InstanceId;
  /** Names this run of the instance: credit of an earlier run may have been spent, so it lapses. */
  readonly holder: string;
  readonly random: () => number;
}

/** One bucket in the store. */
interface Bucket extends RateLimit {
  readonly name: string;
}

/** The draws on one bucket. */
interface Draws {
  readonly credit: WorkspaceCredit;
  readonly address: RowAddress;
  row: KnownRow;
  /** When the store last told the row, by the steady clock. */
  knownAt: number;
  isAsking: boolean;
  /** When credit may be drawn ahead of demand again, by the steady clock. */
  aheadAt: number;
}

/** Table of the buckets. */
export const RATE_TABLE = 'rates';
/** Longest wait of a request for credit, in milliseconds: some answers of a slow store. */
const WAIT_MILLISECONDS = 800;
/** Longest wait for the rate to have room again, in milliseconds: a fraction of what callers allow for an answer. */
const PATIENCE_MILLISECONDS = 600;
/** Shortest pause before those who wait ask again, in milliseconds: instances that ask more often only hinder each other. */
const ASK_AGAIN_MILLISECONDS = 120;
/** Shortest and longest time for which an empty bucket is not asked again, in milliseconds. */
const DENIED_MILLISECONDS = { longest: 1_000, shortest: 250 };
/** Shortest pause between draws ahead of demand, in milliseconds: half of the time that they are meant to last. */
const AHEAD_PAUSE_MILLISECONDS = 1_500;
/** Time for which a row is likely still as the store told it, in milliseconds: several instances draw on it each second. */
const RECENT_MILLISECONDS = 40;
/** Part of a used-up rate that goes to programs that begin then: some of it is owed to those under way. */
const BEGINNING_SHARE = 0.85;
/** Rate for which one bucket is enough, in requests a second: some dozen instances draw on it without hindering each other. */
const LANE_RATE = 80;
/** Buckets that one workspace has at most. */
const LARGEST_LANES = 16;
/** Tries of one draw while the store fails. */
const MAXIMUM_FAILURES = 2;

const unlimited: RateAdmission = { giveBack: () => undefined };

/**
 * Admits requests within the rate and burst that a workspace has over all instances. Instances
 * hold credit drawn from one bucket a workspace in the store, ahead of demand, so that a request
 * seldom waits; credit that is not used goes back or lapses.
 *
 * @example
 * const admission = await rates.admit(workspace, signal);
 */
export class WorkspaceRates {
  private readonly workspaces = new Map<string, Draws>();
  /** Of all workspaces together, since an instance sees few programs of each. */
  private readonly programSize = new ProgramSize();
  private storeClock: { readonly storeTime: number; readonly steady: number } | undefined;

  public constructor(private readonly parts: WorkspaceRatesParts) {}

  /**
   * Takes a place for one request, or says why there is none. While a workspace uses more than its
   * rate, programs that have not begun are refused, so that those that have can end.
   */
  public async admit(
    workspace: GatewayWorkspace | undefined,
    signal: AbortSignal,
    beginsProgram: () => Promise<boolean>,
  ): Promise<Result<RateAdmission, ZincringError>> {
    if (workspace === undefined || workspace.ratePerSecond <= 0) {
      return Ok(unlimited);
    }
    const lanes = this.lanesOf(workspace);
    this.programSize.noteRequest();
    if (isAnyScarce(lanes) && (await beginsProgram())) {
      const beginning = await this.takePlace(this.beginningsOf(workspace), signal);
      if (beginning.err) {
        return beginning;
      }
    }
    const [first, second] = lanes;
    const admission = await this.takePlace(first, signal);
    const isElsewhere = admission.err && admission.val.kind === 'rate-limited';
    return isElsewhere && second !== undefined ? await this.takePlace(second, signal) : admission;
  }

  /** Whether a workspace used more than its rate of late, as far as this instance knows. */
  public isScarce(workspace: GatewayWorkspace | undefined): boolean {
    return (
      workspace !== undefined && workspace.ratePerSecond > 0 && isAnyScarce(this.lanesOf(workspace))
    );
  }

  /**
   * The buckets of a workspace that this instance draws on, its usual one first. A workspace with a
   * high rate has several, since one row takes no more than some hundred changes a second.
   */
  private lanesOf(workspace: GatewayWorkspace): readonly [Draws, Draws?] {
    const { burst, name, ratePerSecond } = workspace;
    const count = Math.max(1, Math.min(LARGEST_LANES, Math.round(ratePerSecond / LANE_RATE)));
    if (count === 1) {
      return [this.drawsOf(workspace)];
    }
    const own = hash32(this.parts.instance) % count;
    const drawsOfLane = (lane: number): Draws =>
      this.drawsOf({
        burst: burst / count,
        name: `${name}/${String(count)}.${String(lane)}`,
        ratePerSecond: ratePerSecond / count,
        slackShare: 1 / count,
      });
    return [drawsOfLane(own), drawsOfLane((own + 1) % count)];
  }

  /** Takes in that a program has had its first turn here. */
  public noteBeginning(): void {
    this.programSize.noteBeginning();
  }

  private async takePlace(
    draws: Draws,
    signal: AbortSignal,
  ): Promise<Result<RateAdmission, ZincringError>> {
    const { credit } = draws;
    credit.noteDemand();
    if (credit.take()) {
      this.drawIfDue(draws);
      return Ok(admissionOf(credit));
    }
    if (credit.deniedUntil > this.parts.timers.now()) {
      return Err(this.rateLimited(credit));
    }
    const answer = this.parts.table.isAway ? 'unknown' : await this.waitForCredit(draws, signal);
    switch (answer) {
      case 'granted':
        return Ok(admissionOf(credit));
      case 'denied':
        return Err(this.rateLimited(credit));
      case 'unknown':
        return Err(
          new ZincringError('store-unavailable', {
            detail: 'the use of the workspace is not known',
            retryAfterSeconds: this.parts.table.retryAfterSeconds,
          }),
        );
    }
  }

  private drawsOf(bucket: Bucket): Draws {
    const { name } = bucket;
    const known = this.workspaces.get(name);
    if (known !== undefined) {
      known.credit.limit = bucket;
      return known;
    }
    const draws: Draws = {
      address: { key: name, partition: `${RATE_TABLE}-${name}`, table: RATE_TABLE },
      aheadAt: -Infinity,
      credit: new WorkspaceCredit(this.parts.timers, bucket),
      isAsking: false,
      knownAt: -Infinity,
      row: absentRow,
    };
    this.workspaces.set(name, draws);
    return draws;
  }

  private async waitForCredit(draws: Draws, signal: AbortSignal): Promise<CreditAnswer> {
    const { credit } = draws;
    return await new Promise(resolve => {
      const settle = (answer: CreditAnswer): void => {
        limit.stop();
        signal.removeEventListener('abort', giveUp);
        resolve(answer);
      };
      const stopWaiting = credit.wait(settle);
      const giveUp = (): void => {
        stopWaiting();
        settle(credit.isScarce ? 'denied' : 'unknown');
      };
      const limit = this.parts.timers.after(WAIT_MILLISECONDS, giveUp);
      signal.addEventListener('abort', giveUp, { once: true });
      this.drawIfDue(draws);
    });
  }

  private drawIfDue(draws: Draws): void {
    const { credit } = draws;
    const now = this.parts.timers.now();
    const isDue = credit.waiting > 0 || (credit.needsCredit && draws.aheadAt <= now);
    if (isDue && credit.deniedUntil <= now) {
      this.startDraw(draws);
    }
  }

  private startDraw(draws: Draws): void {
    if (draws.isAsking) {
      return;
    }
    draws.isAsking = true;
    draws.aheadAt = this.parts.timers.now() + AHEAD_PAUSE_MILLISECONDS;
    void this.draw(draws).finally(() => {
      draws.isAsking = false;
    });
  }

  private async draw(draws: Draws): Promise<void> {
    const { credit } = draws;
    let sentAt = momentOf(this.parts.timers);
    const { storeValidMilliseconds } = credit;
    let unspentWhenSent = credit.unspent;
    const edited = await editRow<CreditGrant>(
      this.parts.table,
      this.parts.timers,
      draws.address,
      draws.row,
      (row, storeTime) => {
        this.noteStoreTime(storeTime);
        // The write that takes effect is the last one that is sent.
        sentAt = momentOf(this.parts.timers);
        unspentWhenSent = credit.unspent;
        const grant = this.grant(parseBucket(row.value), credit, storeValidMilliseconds);
        if (!grant.isChanged) {
          return { answer: grant, kind: 'leave' };
        }
        const value = Buffer.from(JSON.stringify(grant.bucket));
        return { answer: grant, kind: 'write', value };
      },
      {
        maximumFailures: MAXIMUM_FAILURES,
        readsFirst: this.parts.timers.now() - draws.knownAt > RECENT_MILLISECONDS,
        random: this.parts.random,
        signal: new AbortController().signal,
      },
    );
    if (edited.err) {
      draws.row = absentRow;
      this.parts.logger.warn(
        { event: 'credit-unknown', failure: edited.val.message, workspace: draws.address.key },
        'no credit could be drawn',
      );
      credit.dismissWaiters('unknown');
      return;
    }
    draws.row = edited.val.row;
    draws.knownAt = this.parts.timers.now();
    this.noteStoreTime(edited.val.storeTime);
    const spent = Math.max(0, unspentWhenSent - credit.unspent);
    credit.noteUse(edited.val.answer.isScarce);
    const { held, immediate, isChanged } = edited.val.answer;
    if (isChanged) {
      credit.receive(held, spent, { sentAt, storeValidMilliseconds });
    }
    const isInTime = elapsedSince(this.parts.timers, sentAt) < IMMEDIATE_MILLISECONDS / 2;
    credit.serveWaiters(isInTime ? immediate : 0);
    this.judgeWaiters(draws);
  }

  private grant(
    bucket: WorkspaceBucket | undefined,
    credit: WorkspaceCredit,
    validMilliseconds: number,
  ): CreditGrant {
    return grantCredit(bucket, credit.limit, {
      holder: this.parts.holder,
      lastHeld: credit.lastHeld,
      storeTime: this.storeTime(bucket?.updatedAt ?? 0),
      unspent: credit.unspent,
      validMilliseconds,
      waiting: credit.waiting,
      wished: credit.wished,
    });
  }

  /** Lets those wait for whom the rate soon has room again, and denies the others. */
  private judgeWaiters(draws: Draws): void {
    const { credit } = draws;
    if (credit.waiting === 0) {
      return;
    }
    const { ratePerSecond } = credit.limit;
    const refillMilliseconds = (1_000 * credit.waiting) / ratePerSecond;
    const pause = Math.max(ASK_AGAIN_MILLISECONDS, refillMilliseconds);
    if (credit.longestWait + pause <= PATIENCE_MILLISECONDS) {
      this.parts.timers.after(pause, () => {
        this.drawIfDue(draws);
      });
      return;
    }
    const { longest, shortest } = DENIED_MILLISECONDS;
    const denied = Math.min(longest, Math.max(shortest, refillMilliseconds));
    credit.deniedUntil = this.parts.timers.now() + denied;
    this.parts.logger.info(
      { denied, event: 'rate-exhausted', unserved: credit.waiting, workspace: draws.address.key },
      'the workspace has used up its rate',
    );
    credit.dismissWaiters('denied');
  }

  /** The rate at which programs may begin: as many as the rate of their requests can finish. */
  private beginningsOf({ burst, name, ratePerSecond }: GatewayWorkspace): Draws {
    const { requests } = this.programSize;
    return this.drawsOf({
      burst: Math.max(1, (burst * BEGINNING_SHARE) / requests),
      name: `${name}/programs`,
      ratePerSecond: (ratePerSecond * BEGINNING_SHARE) / requests,
    });
  }

  private rateLimited(credit: WorkspaceCredit): ZincringError {
    const wait = Math.max(credit.deniedUntil - this.parts.timers.now(), 0);
    const retryAfterSeconds = Math.ceil(wait + 1_000 / credit.limit.ratePerSecond) / 1_000;
    return new ZincringError('rate-limited', { retryAfterSeconds });
  }

  /** Time of the store as far as it has surely come. */
  private storeTime(atLeast: number): number {
    if (this.storeClock === undefined) {
      return atLeast;
    }
    const elapsed = this.parts.timers.now() - this.storeClock.steady;
    return Math.max(atLeast, this.storeClock.storeTime + elapsed);
  }

  private noteStoreTime(storeTime: number | undefined): void {
    if (storeTime !== undefined) {
      this.storeClock = { steady: this.parts.timers.now(), storeTime };
    }
  }
}

function isAnyScarce(lanes: readonly (Draws | undefined)[]): boolean {
  return lanes.some(draws => draws?.credit.isScarce === true);
}

function admissionOf(credit: WorkspaceCredit): RateAdmission {
  return {
    giveBack: () => {
      credit.giveBack();
    },
  };
}

function parseBucket(value: Buffer | undefined): WorkspaceBucket | undefined {
  return value === undefined ? undefined : (JSON.parse(value.toString()) as WorkspaceBucket);
}
