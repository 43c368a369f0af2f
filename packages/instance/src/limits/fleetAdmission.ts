import type {
  IncarnationId,
  InstanceId,
  Logger,
  Metrics,
  Result,
  TimerService,
  TimerSubscription,
  ZincringError,
} from '@zincring/core';
import type { LeaseTerms, Loan, LoanRequest, LoanTerms, Membership } from '@zincring/coordination';
import type { TableService } from '@zincring/platform';
import type { Configuration, WorkspaceRule } from '@zincring/rules';

import { Err, Ok, ZincringError as ZincringErrorClass } from '@zincring/core';
import {
  borrowerName,
  EscrowedLimiter,
  LimitSeats,
  preferredHolder,
  shardOf,
} from '@zincring/coordination';

import type { PeerClients } from '../peers/peerClients.js';
import type { Admission } from './admission.js';
import type { TokenLender } from './tokenLender.js';

import { PeerTokenBorrower } from './tokenBorrower.js';

/** Settings of the rate limits; docs/operators/limits.md explains each. */
export interface LimitSettings {
  readonly seatCount: number;
  readonly seatLease: LeaseTerms;
  readonly loan: LoanTerms;
  readonly maximumWaitMilliseconds: number;
  readonly maximumWaiting: number;
}

/** Dependencies and settings of {@link FleetAdmission}. */
export interface FleetAdmissionOptions {
  readonly settings: LimitSettings;
  readonly instance: InstanceId;
  /** Peer address; the process must bind it before it calls {@link FleetAdmission.start}. */
  readonly address: string;
  readonly table: TableService;
  readonly clients: PeerClients;
  readonly membership: Membership;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly createIncarnation: () => IncarnationId;
  /** Identifier of the first loan; must differ between the processes of an instance. */
  readonly firstLoanId: number;
}

const TICK_INTERVAL_MILLISECONDS = 1_000;
const SEAT_POLL_INTERVAL_MILLISECONDS = 1_000;
const BORROW_TIMEOUT_MILLISECONDS = 300;
/** Ratio of the delay before an acquired seat grants tokens to the maximum term of a loan. */
const ACTIVATION_DELAY_FACTOR = 1.05;
const MILLISECONDS_PER_SECOND = 1_000;

/** Admits requests within the rates and bursts of workspaces, which all instances share. */
export class FleetAdmission implements Admission, TokenLender {
  private readonly seats: LimitSeats;
  private readonly limiter: EscrowedLimiter;
  private tickSubscription: TimerSubscription | undefined;

  public constructor(private readonly options: FleetAdmissionOptions) {
    const { loan, seatCount, seatLease } = options.settings;
    this.seats = new LimitSeats({
      ...options,
      eligible: () => options.membership.eligible(),
      pollMilliseconds: SEAT_POLL_INTERVAL_MILLISECONDS,
      seatCount,
      activationDelayMilliseconds: loan.shareMilliseconds * ACTIVATION_DELAY_FACTOR,
      terms: seatLease,
    });
    this.limiter = this.createLimiter();
  }

  /** Starts acquiring seats; the process must have bound its peer address. */
  public start(): void {
    this.tickSubscription = this.options.timers.every(TICK_INTERVAL_MILLISECONDS, () => {
      this.tick();
    });
    this.tick();
  }

  /** Applies the rates and bursts of a configuration. */
  public updateConfiguration(configuration: Configuration): void {
    this.limiter.configure(configuration.workspaces);
  }

  /**
   * Releases the seats and returns the loans; requests are then admitted with tokens borrowed from
   * other instances.
   */
  public async release(): Promise<void> {
    this.tickSubscription?.stop();
    this.limiter.returnLoans();
    await this.seats.stop();
  }

  /** Stops the limiter and its timers; waiting requests are refused. */
  public close(): void {
    this.limiter.stop();
  }

  public lend(request: LoanRequest): Loan {
    return this.limiter.lend(request);
  }

  public async admit(
    rule: WorkspaceRule,
    maximumWaitMilliseconds: number = this.options.settings.maximumWaitMilliseconds,
  ): Promise<Result<void, ZincringError>> {
    const decision = await this.limiter.admit(rule.name, maximumWaitMilliseconds);
    this.options.metrics.increment(`limits.${decision.status}`, 1, { workspace: rule.name });
    if (decision.status === 'granted') {
      return Ok(undefined);
    }
    const retryAfterSeconds = decision.retryMilliseconds / MILLISECONDS_PER_SECOND;
    return Err(new ZincringErrorClass('rate-limited', { retryAfterSeconds }));
  }

  private createLimiter(): EscrowedLimiter {
    const {
      address,
      clients,
      createIncarnation,
      firstLoanId,
      instance,
      membership,
      settings,
      timers,
    } = this.options;
    return new EscrowedLimiter({
      borrower: borrowerName({ address, incarnation: createIncarnation(), instance }),
      firstLoanId,
      homeOf: workspace => {
        const shard = shardOf(workspace, settings.seatCount);
        const home = preferredHolder(shard, membership.eligible());
        return home === instance ? undefined : home;
      },
      // Includes instances that are stopping: they hold and lend their seats until the handover.
      lenders: () => membership.alive.map(({ id }) => id),
      loans: new PeerTokenBorrower({
        addressOf: id => membership.findAlive(id as InstanceId)?.address,
        clients,
        timeoutMilliseconds: BORROW_TIMEOUT_MILLISECONDS,
      }),
      maximumWaiting: settings.maximumWaiting,
      ownShares: () => this.seats.ownedShares(),
      terms: settings.loan,
      timers,
    });
  }

  private tick(): void {
    void this.seats.tick();
    this.options.metrics.gauge('limits.seats', this.seats.heldSeats.length);
  }
}
