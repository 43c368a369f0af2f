import type { Result, TimerService } from '@zincring/core';

import { Err, Ok, sleep, ZincringError } from '@zincring/core';

import type { Owner, OwnerSelector } from '../peers/ownerSelector.js';
import type { CreditSource, NamedRateLimit, RateAdmission } from './creditSource.js';
import type { OwnedCreditReply, OwnerFailure } from './ownedCredit.js';

/** Dependencies of a {@link DelegatedCreditSource}. */
export interface DelegatedCreditSourceDependencies {
  readonly owners: OwnerSelector;
  /** Credit of the buckets that this instance owns, and of all buckets whose owner cannot be reached. */
  readonly local: CreditSource;
  readonly timers: TimerService;
}

/** What this instance knows of a bucket that another one owns. */
interface RemoteBucket {
  /** Time until which the workspace counts as over its rate, on the monotonic clock, in milliseconds. */
  overRateUntil: number;
  /** Time until which requests are denied without asking the owner, on the monotonic clock, in milliseconds. */
  deniedUntil: number;
}

/** Number of owners that are asked before this instance draws credit itself. */
const MAXIMUM_OWNERS = 2;
/**
 * Bounds of the pause before an owner without credit is asked again, in milliseconds. An owner that
 * kept the call waiting is asked again at once, so that the next draw counts the request.
 */
const RETRY_PAUSES = { maximumMilliseconds: 60, minimumMilliseconds: 5 };
/** Maximum wait for credit, in milliseconds: a fraction of the time that callers allow for a response. */
const MAXIMUM_WAIT_MILLISECONDS = 600;
/** Time for which a workspace counts as over its rate after its owner said so, in milliseconds: about the run time of a program. */
const OVER_RATE_MILLISECONDS = 2_000;
/** Retry delay for callers while the owner gets no answer of the store, in seconds. */
const UNKNOWN_RETRY_SECONDS = 0.4;

/** Credit that an owner granted is spent there and cannot be returned. */
const grantedAdmission: RateAdmission = { refund: () => undefined };

/**
 * Acquires credit from the instance that owns a bucket. One owner sees the demand of all instances and
 * draws credit for many requests at once, so the calls to the store grow with the number of workspaces
 * and not with that of requests. An owner is only an optimization: the row of the bucket keeps the
 * limit, whichever instances draw from it.
 *
 * @example
 * const credits = new DelegatedCreditSource({ local, owners, timers });
 * const admission = await credits.acquire(bucket, signal);
 */
export class DelegatedCreditSource implements CreditSource {
  private readonly remoteBuckets = new Map<string, RemoteBucket>();

  public constructor(private readonly dependencies: DelegatedCreditSourceDependencies) {}

  public isOverRate(bucket: NamedRateLimit): boolean {
    const remote = this.remoteBuckets.get(bucket.name);
    return (
      (remote !== undefined && remote.overRateUntil > this.dependencies.timers.now()) ||
      this.dependencies.local.isOverRate(bucket)
    );
  }

  public async acquire(
    bucket: NamedRateLimit,
    signal: AbortSignal,
  ): Promise<Result<RateAdmission, ZincringError>> {
    for (let asked = 0; asked < MAXIMUM_OWNERS && !signal.aborted; asked++) {
      const owner = this.dependencies.owners.choose(bucket.name);
      if (owner === undefined) {
        break;
      }
      const admission = await this.acquireFrom(owner, bucket, signal);
      if (admission !== undefined) {
        return admission;
      }
    }
    return await this.dependencies.local.acquire(bucket, signal);
  }

  /** Asks an owner until it grants or denies credit; `undefined` if it cannot be reached or cannot reach the store. */
  private async acquireFrom(
    owner: Owner,
    bucket: NamedRateLimit,
    signal: AbortSignal,
  ): Promise<Result<RateAdmission, ZincringError> | undefined> {
    const { owners, timers } = this.dependencies;
    const remote = this.findOrAddRemoteBucket(bucket);
    const startedAt = timers.now();
    while (timers.now() - startedAt < MAXIMUM_WAIT_MILLISECONDS && !signal.aborted) {
      if (remote.deniedUntil > timers.now()) {
        return Err(this.createRateLimitedError(remote, bucket));
      }
      const askedAt = timers.now();
      const reply = await owner.peer.acquireOwned(bucket);
      if (reply.kind === 'unreachable' || reply.kind === 'without-store') {
        owners.recordFailure(owner, reply.kind);
        return undefined;
      }
      owners.recordSuccess(owner);
      this.recordReply(remote, reply);
      if (reply.kind === 'granted') {
        return Ok(grantedAdmission);
      }
      if (reply.kind === 'pending') {
        const { maximumMilliseconds, minimumMilliseconds } = RETRY_PAUSES;
        const elapsedMilliseconds = timers.now() - askedAt;
        const pauseMilliseconds = Math.max(
          minimumMilliseconds,
          maximumMilliseconds - elapsedMilliseconds,
        );
        await sleep(timers, pauseMilliseconds, signal);
      }
    }
    if (remote.overRateUntil > timers.now()) {
      return Err(this.createRateLimitedError(remote, bucket));
    }
    return Err(
      new ZincringError('store-unavailable', {
        detail: 'the use of the workspace is not known',
        retryAfterSeconds: UNKNOWN_RETRY_SECONDS,
      }),
    );
  }

  private recordReply(
    remote: RemoteBucket,
    reply: Exclude<OwnedCreditReply, { kind: OwnerFailure }>,
  ): void {
    const now = this.dependencies.timers.now();
    if (reply.isOverRate) {
      remote.overRateUntil = now + OVER_RATE_MILLISECONDS;
    }
    if (reply.kind === 'denied') {
      remote.deniedUntil = now + reply.retryAfterMilliseconds;
    }
  }

  private createRateLimitedError(
    remote: RemoteBucket,
    { ratePerSecond }: NamedRateLimit,
  ): ZincringError {
    const waitMilliseconds = Math.max(
      remote.deniedUntil - this.dependencies.timers.now(),
      1_000 / ratePerSecond,
    );
    return new ZincringError('rate-limited', {
      retryAfterSeconds: Math.ceil(waitMilliseconds) / 1_000,
    });
  }

  private findOrAddRemoteBucket({ name }: NamedRateLimit): RemoteBucket {
    const known = this.remoteBuckets.get(name);
    if (known !== undefined) {
      return known;
    }
    const remote = { deniedUntil: -Infinity, overRateUntil: -Infinity };
    this.remoteBuckets.set(name, remote);
    return remote;
  }
}
