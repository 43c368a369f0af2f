import type {
  BucketSize,
  AdmissionDecision,
  Limiter,
  Loan,
  LoanClient,
  LoanRequest,
  LoanTerms,
  LeaseTerms,
  WorkspaceLimits,
} from '@zincring/coordination';
import type { IncarnationId, ShardId, TimerService } from '@zincring/core';
import type { TableService } from '@zincring/platform';

import {
  borrowerName,
  EscrowedLimiter,
  LimitSeats,
  noLoan,
  preferredHolder,
  shardOf,
} from '@zincring/coordination';
import { silentLogger, sleep } from '@zincring/core';

/** What a mechanism sees of the world. */
export interface MechanismContext {
  readonly timers: TimerService;
  readonly table: TableService;
  readonly loans: LoanClient;
  readonly instance: string;
  readonly incarnation: string;
  readonly address: string;
  /** Number of processes that ran before, over the whole fleet. */
  readonly generation: number;
  /** Instances that are alive and not leaving, as this one sees it. */
  readonly eligible: () => ReadonlySet<string>;
}

/** One mechanism at one instance. */
export interface Mechanism extends Limiter {
  lend(request: LoanRequest): Loan;
  /** Keeps leases up; called twice a second. */
  tick(): void;
  /** Gives everything up before a planned stop. */
  release(): Promise<void>;
}

/** Names of the mechanisms. */
export type MechanismName = 'escrow' | 'single-home' | 'static-share';

/** Every mechanism, the chosen one first. */
export const mechanismNames: readonly MechanismName[] = ['escrow', 'single-home', 'static-share'];

/** Terms of the seats' leases. */
export const seatTerms: LeaseTerms = {
  marginMilliseconds: 30_000,
  renewMilliseconds: 60_000,
  termMilliseconds: 1_800_000,
};

const homeTerms: LeaseTerms = {
  marginMilliseconds: 500,
  renewMilliseconds: 1_000,
  termMilliseconds: 5_000,
};

/** Terms of loans. */
export const loanTerms: LoanTerms = {
  renewMilliseconds: 800,
  shareMilliseconds: 2_000,
  tokenMilliseconds: 500,
};

const SEAT_COUNT = 64;
const HOME_COUNT = 16;
const LOOK_MILLISECONDS = 2_000;
const MAXIMUM_WAITING = 1_000;
const LOANS_PER_PROCESS = 1_000_000;

/** Makes a mechanism for one process. */
export function createMechanism(
  name: MechanismName,
  context: MechanismContext,
  terms: LeaseTerms = seatTerms,
): Mechanism {
  switch (name) {
    case 'escrow':
      return new EscrowMechanism(context, terms);
    case 'single-home':
      return new SingleHomeMechanism(context);
    case 'static-share':
      return new StaticShareMechanism(context);
  }
}

function createSeats(context: MechanismContext, seatCount: number, terms: LeaseTerms): LimitSeats {
  let sessions = 0;
  return new LimitSeats({
    ...context,
    createIncarnation: () => `${context.incarnation}.${sessions++}` as IncarnationId,
    logger: silentLogger,
    pollMilliseconds: LOOK_MILLISECONDS,
    seatCount,
    activationDelayMilliseconds: loanTerms.shareMilliseconds * 1.02,
    terms,
  });
}

/** Seats for long terms, with loans. */
class EscrowMechanism implements Mechanism {
  private readonly seats: LimitSeats;
  private readonly limiter: EscrowedLimiter;

  public constructor(context: MechanismContext, terms: LeaseTerms) {
    this.seats = createSeats(context, SEAT_COUNT, terms);
    this.limiter = new EscrowedLimiter({
      borrower: borrowerName(context),
      firstLoanId: context.generation * LOANS_PER_PROCESS + 1,
      homeOf: workspace => {
        const shard = shardOf(workspace, SEAT_COUNT);
        const home = preferredHolder(shard, context.eligible());
        return home === context.instance ? undefined : home;
      },
      lenders: () => [...context.eligible()].filter(each => each !== context.instance),
      loans: context.loans,
      maximumWaiting: MAXIMUM_WAITING,
      ownShares: () => this.seats.ownedShares(),
      terms: loanTerms,
      timers: context.timers,
    });
  }

  public configure(limits: WorkspaceLimits): void {
    this.limiter.configure(limits);
  }

  public async admit(workspace: string, waitMilliseconds: number): Promise<AdmissionDecision> {
    return await this.limiter.admit(workspace, waitMilliseconds);
  }

  public lend(request: LoanRequest): Loan {
    return this.limiter.lend(request);
  }

  public tick(): void {
    void this.seats.tick();
  }

  public async release(): Promise<void> {
    this.limiter.stop();
    await this.seats.stop();
  }
}

/** One home for each workspace with a short lease; every other instance asks it for each token. */
class SingleHomeMechanism implements Mechanism {
  private readonly seats: LimitSeats;
  private readonly limiters: readonly EscrowedLimiter[];

  public constructor(context: MechanismContext) {
    this.seats = createSeats(context, HOME_COUNT, homeTerms);
    this.limiters = Array.from({ length: HOME_COUNT }, (_, seat) => {
      return new EscrowedLimiter({
        borrower: borrowerName(context),
        firstLoanId: context.generation * LOANS_PER_PROCESS + 1,
        homeOf: () => {
          const home = preferredHolder(seat as ShardId, context.eligible());
          return home === context.instance ? undefined : home;
        },
        lenders: () => [],
        loans: context.loans,
        maximumWaiting: MAXIMUM_WAITING,
        ownShares: () => {
          const stake = this.seats.shareOfSeat(seat);
          return stake === undefined ? [] : [{ ...stake, share: 1 }];
        },
        terms: loanTerms,
        timers: context.timers,
      });
    });
  }

  public configure(limits: WorkspaceLimits): void {
    for (const [seat, limiter] of this.limiters.entries()) {
      limiter.configure(new Map([...limits].filter(([name]) => seatOf(name) === seat)));
    }
  }

  public async admit(workspace: string, waitMilliseconds: number): Promise<AdmissionDecision> {
    const limiter = this.limiters[seatOf(workspace)];
    return limiter === undefined
      ? { retryMilliseconds: 1_000, status: 'refused' }
      : await limiter.admit(workspace, waitMilliseconds);
  }

  public lend(request: LoanRequest): Loan {
    return this.limiters[seatOf(request.workspace)]?.lend(request) ?? noLoan(1_000);
  }

  public tick(): void {
    void this.seats.tick();
  }

  public async release(): Promise<void> {
    this.limiters.forEach(limiter => {
      limiter.stop();
    });
    await this.seats.stop();
  }
}

function seatOf(workspace: string): number {
  return shardOf(workspace, HOME_COUNT);
}

interface DebtBucket {
  tokens: number;
  updatedAt: number;
}

/** Each instance takes an equal part of what it believes to be the fleet, one token at the least. */
class StaticShareMechanism implements Mechanism {
  private limits: WorkspaceLimits = new Map();
  private readonly buckets = new Map<string, DebtBucket>();

  public constructor(private readonly context: MechanismContext) {}

  public configure(limits: WorkspaceLimits): void {
    this.limits = limits;
  }

  public async admit(workspace: string, waitMilliseconds: number): Promise<AdmissionDecision> {
    const limit = this.limits.get(workspace);
    if (limit === undefined) {
      return { retryMilliseconds: 1_000, status: 'refused' };
    }
    const share = this.shareOf(limit);
    const bucket = this.refill(workspace, share);
    const wait = Math.max(0, ((1 - bucket.tokens) / share.rate) * 1_000);
    if (wait > waitMilliseconds) {
      return { retryMilliseconds: wait, status: 'refused' };
    }
    bucket.tokens -= 1;
    if (wait > 0) {
      await sleep(this.context.timers, wait);
    }
    return { status: 'granted' };
  }

  public lend(): Loan {
    return noLoan(1_000);
  }

  public tick(): void {
    // Nothing is leased.
  }

  public async release(): Promise<void> {
    await Promise.resolve();
  }

  private shareOf(limit: BucketSize): BucketSize {
    const count = Math.max(1, this.context.eligible().size);
    return { burst: Math.max(1, limit.burst / count), rate: limit.rate / count };
  }

  private refill(workspace: string, share: BucketSize): DebtBucket {
    const now = this.context.timers.now();
    const bucket = this.buckets.get(workspace) ?? { tokens: 0, updatedAt: now };
    const seconds = (now - bucket.updatedAt) / 1_000;
    bucket.tokens = Math.min(share.burst, bucket.tokens + seconds * share.rate);
    bucket.updatedAt = now;
    this.buckets.set(workspace, bucket);
    return bucket;
  }
}
