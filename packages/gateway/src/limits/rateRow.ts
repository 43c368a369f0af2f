/** Requests that an instance may admit without asking again. */
export interface HeldCredit {
  readonly requests: number;
  /** When the store takes the credit back, by its own clock, in milliseconds. */
  readonly expiresAt: number;
  /** Requests that waited for the grant; they are admitted as soon as it arrives. */
  readonly immediate?: number;
  /** Until when those count, by the clock of the store, in milliseconds. */
  readonly immediateUntil?: number;
}

/** The bucket of one workspace, shared by all instances. */
export interface WorkspaceBucket {
  /** Requests that may be handed out. */
  readonly tokens: number;
  /** When `tokens` was right, by the clock of the store, in milliseconds. */
  readonly updatedAt: number;
  readonly held: Readonly<Record<string, HeldCredit>>;
}

/** Rate and burst of a workspace. */
export interface RateLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Part of the workspace's slack that the bucket has: 1, or less where a workspace has several buckets. */
  readonly slackShare?: number;
}

/** What an instance asks of a bucket. */
export interface CreditRequest {
  readonly holder: string;
  /** Credit that the instance knows to hold, spent credit not counted. */
  readonly unspent: number;
  /** Credit that the instance knew to hold when it last heard from the store. */
  readonly lastHeld: number;
  /** Requests that wait for credit now. */
  readonly waiting: number;
  /** Further credit wished for requests to come. */
  readonly wished: number;
  /** Time of the store, never ahead of it, in milliseconds. */
  readonly storeTime: number;
  /** How long the credit is good, by the store's clock, in milliseconds. */
  readonly validMilliseconds: number;
}

/** What the bucket hands out. */
export interface CreditGrant {
  readonly bucket: WorkspaceBucket;
  /** Credit that the instance now holds for requests to come. */
  readonly held: number;
  /** Requests that may be admitted as soon as the grant arrives. */
  readonly immediate: number;
  /** Whether the row has to change: without a grant or credit to give back it may stay as it is. */
  readonly isChanged: boolean;
  /** Whether bucket and credits together are below the burst: the workspace uses more than its rate. */
  readonly isScarce: boolean;
}

/** Part of a second's rate that bucket and credits may hold beyond the burst: the operator's slack over a window of five seconds. */
const SLACK_SECONDS = 0.5;
/** Part of the burst that bucket and credits may hold beyond it: the operator's slack. */
const SLACK_BURST_SHARE = 0.1;
/** Part of the burst that stays in the bucket for requests that wait, wherever they arrive. */
const RESERVED_BURST_SHARE = 0.3;
/** How long requests that waited for a grant count as outstanding, in milliseconds: its answer is used for half of that. */
export const IMMEDIATE_MILLISECONDS = 1_000;
/** Requests that bucket and credits may hold beyond that: below what the operator lets pass above the limit. */
const SLACK_REQUESTS = 12;

/**
 * Tops up the credit of one instance. What the bucket and all instances hold together stays
 * within the burst and the slack that the operator allows, so that all of it spent at once is
 * still within the limit.
 *
 * @example
 * const { bucket, held } = grantCredit(undefined, { burst: 20, ratePerSecond: 10 }, request);
 */
export function grantCredit(
  known: WorkspaceBucket | undefined,
  limit: RateLimit,
  request: CreditRequest,
): CreditGrant {
  const { holder, storeTime } = request;
  const refilled = refill(known, limit, storeTime);
  const { [holder]: own, ...others } = dropExpired(known?.held ?? {}, storeTime);
  // Credit of a grant whose answer was lost was never spent and goes back.
  const neverReceived = Math.max(0, (own?.requests ?? request.lastHeld) - request.lastHeld);
  const outstanding = refilled + neverReceived + request.unspent + totalHeld(others, storeTime);
  const isScarce = outstanding < limit.burst;
  const target = request.waiting + (isScarce ? 0 : request.wished);
  const surplus = Math.max(0, request.unspent - target);
  const available = refilled + neverReceived + surplus;
  const kept = request.unspent - surplus;
  const forWaiting = Math.min(Math.max(0, request.waiting - kept), wholePart(available));
  const spare = wholePart(available - forWaiting - RESERVED_BURST_SHARE * limit.burst);
  const ahead = Math.min(Math.max(0, target - kept - forWaiting), spare);
  const granted = forWaiting + ahead;
  const held = kept + ahead;
  const entry = {
    expiresAt: storeTime + request.validMilliseconds,
    immediate: forWaiting,
    immediateUntil: storeTime + IMMEDIATE_MILLISECONDS,
    requests: held,
  };
  const holders = held + forWaiting > 0 ? { ...others, [holder]: entry } : others;
  const room = Math.max(0, mostOutstanding(limit) - totalHeld(holders, storeTime));
  const tokens = Math.min(limit.burst, room, available - granted);
  return {
    bucket: { held: holders, tokens, updatedAt: Math.max(storeTime, known?.updatedAt ?? 0) },
    held,
    immediate: forWaiting,
    isChanged: granted > 0 || surplus > 0 || neverReceived > 0 || known === undefined,
    isScarce,
  };
}

function wholePart(amount: number): number {
  return Math.max(0, Math.floor(amount));
}

/**
 * Requests that the bucket and all credits may stand for together.
 *
 * @example
 * mostOutstanding({ burst: 10, ratePerSecond: 10 }); // 28
 */
export function mostOutstanding({ burst, ratePerSecond, slackShare = 1 }: RateLimit): number {
  const slack = SLACK_SECONDS * ratePerSecond + SLACK_BURST_SHARE * burst;
  return burst + slack + SLACK_REQUESTS * slackShare;
}

function totalHeld(held: Readonly<Record<string, HeldCredit>>, storeTime: number): number {
  return Object.values(held).reduce(
    (sum, { immediate = 0, immediateUntil = 0, requests }) =>
      sum + requests + (immediateUntil > storeTime ? immediate : 0),
    0,
  );
}

function refill(
  known: WorkspaceBucket | undefined,
  { burst, ratePerSecond }: RateLimit,
  storeTime: number,
): number {
  if (known === undefined) {
    return burst;
  }
  const elapsedSeconds = Math.max(0, storeTime - known.updatedAt) / 1_000;
  return Math.min(burst, known.tokens + elapsedSeconds * ratePerSecond);
}

function dropExpired(
  held: Readonly<Record<string, HeldCredit>>,
  storeTime: number,
): Readonly<Record<string, HeldCredit>> {
  return Object.fromEntries(
    Object.entries(held).filter(([, { expiresAt }]) => expiresAt > storeTime),
  );
}
