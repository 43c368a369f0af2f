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

/** Dependencies of a mechanism at one instance. */
export interface MechanismContext {
  readonly timers: TimerService;
  readonly table: TableService;
  readonly loans: LoanClient;
  readonly instance: string;
  readonly incarnation: string;
  readonly address: string;
  /** Ordinal of this process among all processes started in the fleet, from 1. */
  readonly processNumber: number;
  /** Returns the instances that this one sees as alive and not leaving. */
  readonly eligible: () => ReadonlySet<string>;
}

/** Rate-limiting mechanism, as it runs at one instance. */
export interface Mechanism extends Limiter {
  /** Grants or refuses the loan request of another instance. */
  lend(request: LoanRequest): Loan;
  /** Acquires and renews leases; called twice a second. */
  tick(): void;
  /** Releases all leases before a planned stop. */
  release(): Promise<void>;
}

/** Names of the mechanisms. */
export type MechanismName = 'escrow' | 'single-home' | 'static-share';

/** All mechanisms; the first is the one that the product uses. */
export const mechanismNames: readonly MechanismName[] = ['escrow', 'single-home', 'static-share'];

/** Lease terms of the seats of the escrow mechanism. */
export const seatTerms: LeaseTerms = {
  marginMilliseconds: 30_000,
  renewMilliseconds: 60_000,
  termMilliseconds: 1_800_000,
};

/** Lease terms of the homes of the single-home mechanism. */
const homeTerms: LeaseTerms = {
  marginMilliseconds: 500,
  renewMilliseconds: 1_000,
  termMilliseconds: 5_000,
};

/** Durations of loans and of their renewal. */
export const loanTerms: LoanTerms = {
  renewMilliseconds: 800,
  shareMilliseconds: 2_000,
  tokenMilliseconds: 500,
};

const SEAT_COUNT = 64;
const HOME_COUNT = 16;
const LEASE_POLL_MILLISECONDS = 2_000;
const MAXIMUM_WAITING_REQUESTS = 1_000;
const LOAN_IDS_PER_PROCESS = 1_000_000;

/** Creates a mechanism for one process. */
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
    pollMilliseconds: LEASE_POLL_MILLISECONDS,
    seatCount,
    activationDelayMilliseconds: loanTerms.shareMilliseconds * 1.02,
    terms,
  });
}

/** Divides each rate over seats with long leases; instances lend each other shares and tokens. */
class EscrowMechanism implements Mechanism {
  private readonly seats: LimitSeats;
  private readonly limiter: EscrowedLimiter;

  public constructor(context: MechanismContext, terms: LeaseTerms) {
    this.seats = createSeats(context, SEAT_COUNT, terms);
    this.limiter = new EscrowedLimiter({
      borrower: borrowerName(context),
      firstLoanId: context.processNumber * LOAN_IDS_PER_PROCESS + 1,
      homeOf: workspace => {
        const shard = shardOf(workspace, SEAT_COUNT);
        const home = preferredHolder(shard, context.eligible());
        return home === context.instance ? undefined : home;
      },
      lenders: () => [...context.eligible()].filter(instance => instance !== context.instance),
      loans: context.loans,
      maximumWaiting: MAXIMUM_WAITING_REQUESTS,
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

/**
 * Assigns every workspace to one home with a short lease; all other instances request each token
 * from it.
 */
class SingleHomeMechanism implements Mechanism {
  private readonly seats: LimitSeats;
  private readonly limiters: readonly EscrowedLimiter[];

  public constructor(context: MechanismContext) {
    this.seats = createSeats(context, HOME_COUNT, homeTerms);
    this.limiters = Array.from({ length: HOME_COUNT }, (_, seat) => {
      return new EscrowedLimiter({
        borrower: borrowerName(context),
        firstLoanId: context.processNumber * LOAN_IDS_PER_PROCESS + 1,
        homeOf: () => {
          const home = preferredHolder(seat as ShardId, context.eligible());
          return home === context.instance ? undefined : home;
        },
        lenders: () => [],
        loans: context.loans,
        maximumWaiting: MAXIMUM_WAITING_REQUESTS,
        ownShares: () => {
          const seatShare = this.seats.shareOfSeat(seat);
          return seatShare === undefined ? [] : [{ ...seatShare, share: 1 }];
        },
        terms: loanTerms,
        timers: context.timers,
      });
    });
  }

  public configure(limits: WorkspaceLimits): void {
    for (const [seat, limiter] of this.limiters.entries()) {
      limiter.configure(new Map([...limits].filter(([name]) => seatIndexOf(name) === seat)));
    }
  }

  public async admit(workspace: string, waitMilliseconds: number): Promise<AdmissionDecision> {
    const limiter = this.limiters[seatIndexOf(workspace)];
    return limiter === undefined
      ? { retryMilliseconds: 1_000, status: 'refused' }
      : await limiter.admit(workspace, waitMilliseconds);
  }

  public lend(request: LoanRequest): Loan {
    return this.limiters[seatIndexOf(request.workspace)]?.lend(request) ?? noLoan(1_000);
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

function seatIndexOf(workspace: string): number {
  return shardOf(workspace, HOME_COUNT);
}

interface LocalBucket {
  tokens: number;
  updatedAt: number;
}

/**
 * Grants at each instance an equal fraction of the rate and burst, according to the number of
 * instances that it sees as alive; the burst is at least one token.
 */
class StaticShareMechanism implements Mechanism {
  private limits: WorkspaceLimits = new Map();
  private readonly buckets = new Map<string, LocalBucket>();

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
    // Static shares need no lease.
  }

  public async release(): Promise<void> {
    await Promise.resolve();
  }

  private shareOf(limit: BucketSize): BucketSize {
    const instanceCount = Math.max(1, this.context.eligible().size);
    return { burst: Math.max(1, limit.burst / instanceCount), rate: limit.rate / instanceCount };
  }

  private refill(workspace: string, share: BucketSize): LocalBucket {
    const now = this.context.timers.now();
    const bucket = this.buckets.get(workspace) ?? { tokens: 0, updatedAt: now };
    const seconds = (now - bucket.updatedAt) / 1_000;
    bucket.tokens = Math.min(share.burst, bucket.tokens + seconds * share.rate);
    bucket.updatedAt = now;
    this.buckets.set(workspace, bucket);
    return bucket;
  }
}
