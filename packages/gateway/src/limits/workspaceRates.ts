import type { InstanceId, Logger, Result, TimerService, WorkspaceName } from '@zincring/core';
import type { RowAddress } from '@zincring/platform';

import { Err, hash32, Ok, ZincringError } from '@zincring/core';

import type { GatewayWorkspace } from '../configuration/gatewayConfiguration.js';
import type { WatchedTable } from '../store/watchedTable.js';
import type { KnownRow } from '../store/editRow.js';
import type { CreditAnswer } from './workspaceCredit.js';
import type { WorkspaceBucket } from './rateRow.js';

import { momentOf } from '../configuration/contactAge.js';
import { absentRow, editRow } from '../store/editRow.js';
import { grantCredit } from './rateRow.js';
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
  /** Workspaces in the configuration in force. */
  readonly workspaceCount: () => number;
  readonly random: () => number;
}

/** The buckets of a group of workspaces: one row. */
type GroupBuckets = Record<string, WorkspaceBucket>;

interface GroupState {
  readonly address: RowAddress;
  row: KnownRow;
  isAsking: boolean;
  /** When credit may be drawn ahead of demand again, by the steady clock. */
  aheadAt: number;
}

/** Table of the buckets. */
export const RATE_TABLE = 'rates';
/** Workspaces that share a row: few rows cost few calls, and many share the time of a partition. */
const WORKSPACES_PER_ROW = 16;
/** How long the store counts credit as held, in milliseconds: longer than its holder does, by the delay of slow answers. */
const STORE_VALID_MILLISECONDS = 5_500;
/** Longest wait of a request for credit, in milliseconds: some answers of a slow store. */
const WAIT_MILLISECONDS = 600;
/** Longest wait for the rate to have room again, in milliseconds: a fraction of what callers allow for an answer. */
const PATIENCE_MILLISECONDS = 250;
/** Shortest and longest time for which an empty bucket is not asked again, in milliseconds. */
const DENIED_MILLISECONDS = { longest: 1_000, shortest: 100 };
/** Shortest pause between draws ahead of demand, in milliseconds: a third of the time that they are meant to last. */
const AHEAD_PAUSE_MILLISECONDS = 700;
/** Tries of one top-up while the store fails. */
const MAXIMUM_FAILURES = 2;
/** When a caller may come back while the store is away, in seconds. */
const STORE_RETRY_SECONDS = 0.4;

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
  private readonly credits = new Map<WorkspaceName, WorkspaceCredit>();
  private readonly groups = new Map<string, GroupState>();
  private storeClock: { readonly storeTime: number; readonly steady: number } | undefined;

  public constructor(private readonly parts: WorkspaceRatesParts) {}

  /** Takes a place for one request, or says why there is none. */
  public async admit(
    workspace: GatewayWorkspace | undefined,
    signal: AbortSignal,
  ): Promise<Result<RateAdmission, ZincringError>> {
    if (workspace === undefined || workspace.ratePerSecond <= 0) {
      return Ok(unlimited);
    }
    const credit = this.creditOf(workspace);
    credit.noteDemand();
    if (credit.take()) {
      this.topUpIfDue(credit);
      return Ok(admissionOf(credit));
    }
    if (credit.deniedUntil > this.parts.timers.now()) {
      return Err(this.rateLimited(credit));
    }
    const answer = this.parts.table.isAway ? 'unknown' : await this.waitForCredit(credit, signal);
    switch (answer) {
      case 'granted':
        return Ok(admissionOf(credit));
      case 'denied':
        return Err(this.rateLimited(credit));
      case 'unknown':
        return Err(
          new ZincringError('store-unavailable', {
            detail: 'the use of the workspace is not known',
            retryAfterSeconds: STORE_RETRY_SECONDS,
          }),
        );
    }
  }

  private creditOf(workspace: GatewayWorkspace): WorkspaceCredit {
    const known = this.credits.get(workspace.name);
    if (known !== undefined) {
      known.workspace = workspace;
      return known;
    }
    const credit = new WorkspaceCredit(this.parts.timers, workspace);
    this.credits.set(workspace.name, credit);
    return credit;
  }

  private async waitForCredit(credit: WorkspaceCredit, signal: AbortSignal): Promise<CreditAnswer> {
    return await new Promise(resolve => {
      let isSettled = false;
      const settle = (answer: CreditAnswer): void => {
        if (isSettled && answer === 'granted') {
          credit.giveBack();
        }
        if (isSettled) {
          return;
        }
        isSettled = true;
        limit.stop();
        signal.removeEventListener('abort', giveUp);
        resolve(answer);
      };
      const giveUp = (): void => {
        settle('unknown');
      };
      const limit = this.parts.timers.after(WAIT_MILLISECONDS, giveUp);
      signal.addEventListener('abort', giveUp, { once: true });
      credit.wait(settle);
      this.topUpIfDue(credit);
    });
  }

  private topUpIfDue(credit: WorkspaceCredit): void {
    const now = this.parts.timers.now();
    const group = this.groupOf(credit.workspace.name);
    const isDue = credit.waiting > 0 || (credit.needsCredit && group.aheadAt <= now);
    if (isDue && credit.deniedUntil <= now) {
      void this.topUp(group);
    }
  }

  /** Asks for credit for all workspaces of a group at once. */
  private async topUp(group: GroupState): Promise<void> {
    if (group.isAsking) {
      return;
    }
    group.isAsking = true;
    group.aheadAt =
      this.parts.timers.now() + AHEAD_PAUSE_MILLISECONDS * (0.75 + this.parts.random() / 2);
    const asked = this.creditsOf(group);
    try {
      await this.ask(group, asked);
    } finally {
      group.isAsking = false;
    }
    // Requests that came during the draw, for workspaces that had no part in it.
    if (this.creditsOf(group).some(credit => credit.waiting > 0 && !asked.includes(credit))) {
      void this.topUp(group);
    }
  }

  private async ask(group: GroupState, credits: readonly WorkspaceCredit[]): Promise<void> {
    const sentAt = momentOf(this.parts.timers);
    const unspentAtStart = new Map(credits.map(credit => [credit, credit.unspent]));
    const edited = await editRow<ReadonlyMap<WorkspaceCredit, number>>(
      this.parts.table,
      this.parts.timers,
      group.address,
      group.row,
      (row, storeTime) => {
        this.noteStoreTime(storeTime);
        const buckets = parseBuckets(row.value);
        const held = new Map<WorkspaceCredit, number>();
        for (const credit of credits) {
          unspentAtStart.set(credit, credit.unspent);
          held.set(credit, this.draw(buckets, credit));
        }
        return { answer: held, kind: 'write', value: Buffer.from(JSON.stringify(buckets)) };
      },
      {
        maximumFailures: MAXIMUM_FAILURES,
        random: this.parts.random,
        signal: new AbortController().signal,
      },
    );
    if (edited.err) {
      group.row = absentRow;
      this.parts.logger.warn(
        { event: 'credit-unknown', failure: edited.val.message, group: group.address.key },
        'no credit could be drawn',
      );
      credits.forEach(credit => {
        credit.dismissWaiters('unknown');
      });
      return;
    }
    group.row = edited.val.row;
    this.noteStoreTime(edited.val.storeTime);
    for (const [credit, held] of edited.val.answer) {
      const spent = Math.max(0, (unspentAtStart.get(credit) ?? 0) - credit.unspent);
      credit.receive(held, spent, sentAt);
      credit.serveWaiters();
      this.judgeWaiters(credit);
    }
  }

  private draw(buckets: GroupBuckets, credit: WorkspaceCredit): number {
    const { name } = credit.workspace;
    const { bucket, held } = grantCredit(buckets[name], credit.workspace, {
      instance: this.parts.instance,
      lastHeld: credit.lastHeld,
      storeTime: this.storeTime(buckets[name]?.updatedAt ?? 0),
      unspent: credit.unspent,
      validMilliseconds: STORE_VALID_MILLISECONDS,
      waiting: credit.waiting,
      wished: credit.wished,
    });
    buckets[name] = bucket;
    return held;
  }

  /** Lets those wait for whom the rate soon has room again, and denies the others. */
  private judgeWaiters(credit: WorkspaceCredit): void {
    if (credit.waiting === 0) {
      return;
    }
    const { name, ratePerSecond } = credit.workspace;
    const refillMilliseconds = 1_000 / ratePerSecond;
    const expected = credit.longestWait + credit.waiting * refillMilliseconds;
    if (expected <= PATIENCE_MILLISECONDS) {
      this.parts.timers.after(refillMilliseconds, () => {
        this.topUpIfDue(credit);
      });
      return;
    }
    const { longest, shortest } = DENIED_MILLISECONDS;
    const pause = Math.min(longest, Math.max(shortest, credit.waiting * refillMilliseconds));
    credit.deniedUntil = this.parts.timers.now() + pause;
    this.parts.logger.info(
      { event: 'rate-exhausted', pause, unserved: credit.waiting, workspace: name },
      'the workspace has used up its rate',
    );
    credit.dismissWaiters('denied');
  }

  private rateLimited(credit: WorkspaceCredit): ZincringError {
    const wait = Math.max(credit.deniedUntil - this.parts.timers.now(), 0);
    const retryAfterSeconds = Math.ceil(wait + 1_000 / credit.workspace.ratePerSecond) / 1_000;
    return new ZincringError('rate-limited', { retryAfterSeconds });
  }

  private groupOf(workspace: WorkspaceName): GroupState {
    const groupCount = countGroups(this.parts.workspaceCount());
    const key = `${String(groupCount)}-${String(hash32(workspace) % groupCount)}`;
    const known = this.groups.get(key);
    if (known !== undefined) {
      return known;
    }
    const address = { key, partition: key, table: RATE_TABLE };
    const group = { address, aheadAt: -Infinity, isAsking: false, row: absentRow };
    this.groups.set(key, group);
    return group;
  }

  private creditsOf(group: GroupState): readonly WorkspaceCredit[] {
    return [...this.credits.values()].filter(
      credit => this.groupOf(credit.workspace.name) === group && isInUse(credit),
    );
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

function isInUse(credit: WorkspaceCredit): boolean {
  return credit.waiting > 0 || credit.wished > 0 || credit.lastHeld > 0;
}

function admissionOf(credit: WorkspaceCredit): RateAdmission {
  return {
    giveBack: () => {
      credit.giveBack();
    },
  };
}

function parseBuckets(value: Buffer | undefined): GroupBuckets {
  return value === undefined ? {} : (JSON.parse(value.toString()) as GroupBuckets);
}

/** Rows for a number of workspaces: a power of two, so that it seldom changes. */
function countGroups(workspaces: number): number {
  return 2 ** Math.max(0, Math.ceil(Math.log2(Math.max(1, workspaces) / WORKSPACES_PER_ROW)));
}
