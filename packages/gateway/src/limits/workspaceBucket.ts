/** Credit of one instance: requests that it may admit without another call to the store. */
export interface HeldCredit {
  readonly requests: number;
  /** Time at which the credit lapses, on the store's clock, in milliseconds. */
  readonly expiresAt: number;
  /** Requests that were waiting for the grant and are admitted when it arrives. */
  readonly immediate?: number;
  /** Time until which `immediate` counts as outstanding, on the store's clock, in milliseconds. */
  readonly immediateUntil?: number;
}

/** Token bucket of one workspace, shared by all instances and stored as a row. */
export interface WorkspaceBucket {
  /** Requests that may still be granted. */
  readonly tokens: number;
  /** Time to which `tokens` refers, on the store's clock, in milliseconds. */
  readonly updatedAt: number;
  /** Credit granted and not yet lapsed, by holder. */
  readonly held: Readonly<Record<string, HeldCredit>>;
}

/** Rate and burst of one bucket. */
export interface RateLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Share of the workspace's slack that belongs to the bucket: 1 by default, less where a workspace has several buckets. */
  readonly slackShare?: number;
  /**
   * Time since the workspace began to draw on buckets of this number instead of another one, in milliseconds; absent
   * if it always has, as far as is known. A bucket does not refill while others serve its workspace.
   */
  readonly inUseMilliseconds?: number;
}

/** Request of an instance for credit from a bucket. */
export interface CreditRequest {
  /** Identifies the run of the instance that holds the credit. */
  readonly holder: string;
  /** Credit that the instance holds and has not spent. */
  readonly unspent: number;
  /** Credit that the instance held after the last grant whose answer it received. */
  readonly confirmedCredit: number;
  /** Requests that are waiting for credit. */
  readonly waiting: number;
  /** Credit requested ahead of demand, for future requests. */
  readonly requestedAhead: number;
  /** Lower bound of the time on the store's clock, in milliseconds. */
  readonly storeTime: number;
  /** Time for which the credit is valid, on the store's clock, in milliseconds. */
  readonly validMilliseconds: number;
}

/** Outcome of a {@link CreditRequest}. */
export interface CreditGrant {
  /** The bucket after the grant. */
  readonly bucket: WorkspaceBucket;
  /** Credit that the instance now holds for future requests. */
  readonly held: number;
  /** Waiting requests that may be admitted when the grant arrives. */
  readonly immediate: number;
  /** Whether the row must be written: not if nothing is granted and no credit is returned. */
  readonly isChanged: boolean;
  /** Whether the tokens and all credit add up to less than the burst: the workspace uses more than its rate. */
  readonly isOverRate: boolean;
}

/** Slack that the operator allows beyond the burst over a window of five seconds, as seconds of the rate. */
const RATE_SLACK_SECONDS = 0.5;
/** Slack that the operator allows beyond the burst, as a share of the burst. */
const BURST_SLACK_SHARE = 0.1;
/** Share of the burst that is not granted ahead of demand, so that waiting requests of any instance can be served. */
const WAITING_RESERVE_BURST_SHARE = 0.3;
/** Time for which requests that waited for a grant count as outstanding, in milliseconds; the instance uses the grant for them only if the answer arrives within half of that time. */
export const IMMEDIATE_GRANT_MILLISECONDS = 1_000;
/** Further slack in requests: less than the operator tolerates above the limit. */
const SLACK_REQUESTS = 12;

/**
 * Tops up the credit of one instance. The tokens and the credit of all instances never add up to
 * more than the burst and the slack that the operator allows: even if all of it is spent at the
 * same time, the workspace stays within its limit.
 *
 * @example
 * const { bucket, held } = grantCredit(undefined, { burst: 20, ratePerSecond: 10 }, request);
 */
export function grantCredit(
  storedBucket: WorkspaceBucket | undefined,
  limit: RateLimit,
  request: CreditRequest,
): CreditGrant {
  const { holder, storeTime } = request;
  const refilledTokens = computeRefilledTokens(storedBucket, limit, storeTime);
  const { [holder]: ownEntry, ...otherEntries } = dropExpired(storedBucket?.held ?? {}, storeTime);
  // Credit of a grant whose answer was lost cannot have been spent and is returned to the bucket.
  const unreceivedCredit = Math.max(
    0,
    (ownEntry?.requests ?? request.confirmedCredit) - request.confirmedCredit,
  );
  const outstanding =
    refilledTokens + unreceivedCredit + request.unspent + sumOutstanding(otherEntries, storeTime);
  const isOverRate = outstanding < limit.burst;
  const isScarce = outstanding < WAITING_RESERVE_BURST_SHARE * limit.burst;
  const target = request.waiting + (isScarce ? 0 : request.requestedAhead);
  const surplus = Math.max(0, request.unspent - target);
  const available = refilledTokens + unreceivedCredit + surplus;
  const retained = request.unspent - surplus;
  const grantedToWaiting = Math.min(
    Math.max(0, request.waiting - retained),
    floorToNonNegative(available),
  );
  const availableAhead = floorToNonNegative(
    available - grantedToWaiting - WAITING_RESERVE_BURST_SHARE * limit.burst,
  );
  const grantedAhead = Math.min(Math.max(0, target - retained - grantedToWaiting), availableAhead);
  const granted = grantedToWaiting + grantedAhead;
  const held = retained + grantedAhead;
  const updatedEntry = {
    expiresAt: storeTime + request.validMilliseconds,
    immediate: grantedToWaiting,
    immediateUntil: storeTime + IMMEDIATE_GRANT_MILLISECONDS,
    requests: held,
  };
  const updatedEntries =
    held + grantedToWaiting > 0 ? { ...otherEntries, [holder]: updatedEntry } : otherEntries;
  const headroom = Math.max(
    0,
    computeMaximumOutstanding(limit) - sumOutstanding(updatedEntries, storeTime),
  );
  const tokens = Math.min(limit.burst, headroom, available - granted);
  return {
    bucket: {
      held: updatedEntries,
      tokens,
      updatedAt: Math.max(storeTime, storedBucket?.updatedAt ?? 0),
    },
    held,
    immediate: grantedToWaiting,
    isChanged: granted > 0 || surplus > 0 || unreceivedCredit > 0 || storedBucket === undefined,
    isOverRate,
  };
}

function floorToNonNegative(amount: number): number {
  return Math.max(0, Math.floor(amount));
}

/**
 * Computes the maximum number of requests that tokens and credit may add up to.
 *
 * @example
 * computeMaximumOutstanding({ burst: 10, ratePerSecond: 10 }); // 28
 */
export function computeMaximumOutstanding({
  burst,
  ratePerSecond,
  slackShare = 1,
}: RateLimit): number {
  const slack = RATE_SLACK_SECONDS * ratePerSecond + BURST_SLACK_SHARE * burst;
  return burst + slack + SLACK_REQUESTS * slackShare;
}

function sumOutstanding(held: Readonly<Record<string, HeldCredit>>, storeTime: number): number {
  return Object.values(held).reduce(
    (sum, { immediate = 0, immediateUntil = 0, requests }) =>
      sum + requests + (immediateUntil > storeTime ? immediate : 0),
    0,
  );
}

function computeRefilledTokens(
  storedBucket: WorkspaceBucket | undefined,
  { burst, inUseMilliseconds = Infinity, ratePerSecond }: RateLimit,
  storeTime: number,
): number {
  const idleMilliseconds =
    storedBucket === undefined ? Infinity : Math.max(0, storeTime - storedBucket.updatedAt);
  const refillSeconds = Math.min(idleMilliseconds, inUseMilliseconds) / 1_000;
  return Math.min(burst, (storedBucket?.tokens ?? 0) + refillSeconds * ratePerSecond);
}

function dropExpired(
  held: Readonly<Record<string, HeldCredit>>,
  storeTime: number,
): Readonly<Record<string, HeldCredit>> {
  return Object.fromEntries(
    Object.entries(held).filter(([, { expiresAt }]) => expiresAt > storeTime),
  );
}
