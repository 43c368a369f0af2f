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

/** Settings of the limits; docs/operators/limits.md explains each. */
export interface LimitSettings {
  readonly seatCount: number;
  readonly seatLease: LeaseTerms;
  readonly loan: LoanTerms;
  readonly maximumWaitMilliseconds: number;
  readonly maximumWaiting: number;
}

/** What limits across the fleet need. */
export interface FleetAdmissionOptions {
  readonly settings: LimitSettings;
  readonly instance: InstanceId;
  /** Peer address that this process has bound before {@link FleetAdmission.start}. */
  readonly address: string;
  readonly table: TableService;
  readonly clients: PeerClients;
  readonly membership: Membership;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly createIncarnation: () => IncarnationId;
  /** First number of a loan; differs between the processes of an instance. */
  readonly firstLoan: number;
}

const TICK_MILLISECONDS = 1_000;
const LOOK_MILLISECONDS = 1_000;
const BORROW_TIMEOUT_MILLISECONDS = 300;
/** Part by which a seat's pause after a change of holder exceeds the longest loan. */
const SETTLE_FACTOR = 1.05;
const MILLISECONDS_PER_SECOND = 1_000;

/** Admits requests within the rates and bursts that all instances share. */
export class FleetAdmission implements Admission, TokenLender {
  private readonly seats: LimitSeats;
  private readonly limiter: EscrowedLimiter;
  private ticks: TimerSubscription | undefined;

  public constructor(private readonly options: FleetAdmissionOptions) {
    const { loan, seatCount, seatLease } = options.settings;
    this.seats = new LimitSeats({
      ...options,
      eligible: () => options.membership.eligible(),
      pollMilliseconds: LOOK_MILLISECONDS,
      seatCount,
      activationDelayMilliseconds: loan.shareMilliseconds * SETTLE_FACTOR,
      terms: seatLease,
    });
    this.limiter = this.createLimiter();
  }

  /** Begins to take seats; the process must have bound its peer address. */
  public start(): void {
    this.ticks = this.options.timers.every(TICK_MILLISECONDS, () => {
      this.tick();
    });
    this.tick();
  }

  /** Puts the rates and bursts of a configuration in force. */
  public updateConfiguration(configuration: Configuration): void {
    this.limiter.configure(configuration.workspaces);
  }

  /** Gives seats and loans up; requests are still admitted by tokens of other instances. */
  public async release(): Promise<void> {
    this.ticks?.stop();
    this.limiter.returnLoans();
    await this.seats.stop();
  }

  /** Ends every timer. */
  public close(): void {
    this.limiter.stop();
  }

  public lend(request: LoanRequest): Loan {
    return this.limiter.lend(request);
  }

  public async admit(
    rule: WorkspaceRule,
    waitMilliseconds: number = this.options.settings.maximumWaitMilliseconds,
  ): Promise<Result<void, ZincringError>> {
    const admittance = await this.limiter.admit(rule.name, waitMilliseconds);
    this.options.metrics.increment(`limits.${admittance.status}`, 1, { workspace: rule.name });
    if (admittance.status === 'granted') {
      return Ok(undefined);
    }
    const retryAfterSeconds = admittance.retryMilliseconds / MILLISECONDS_PER_SECOND;
    return Err(new ZincringErrorClass('rate-limited', { retryAfterSeconds }));
  }

  private createLimiter(): EscrowedLimiter {
    const {
      address,
      clients,
      createIncarnation,
      firstLoan,
      instance,
      membership,
      settings,
      timers,
    } = this.options;
    return new EscrowedLimiter({
      borrower: borrowerName({ address, incarnation: createIncarnation(), instance }),
      firstLoanId: firstLoan,
      homeOf: workspace => {
        const shard = shardOf(workspace, settings.seatCount);
        const home = preferredHolder(shard, membership.eligible());
        return home === instance ? undefined : home;
      },
      // An instance that leaves holds its seats until it hands over, so it lends as well.
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
