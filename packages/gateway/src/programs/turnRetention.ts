import type { GatewayRoute } from '../configuration/gatewayConfiguration.js';
import type { StoredTurn, TurnChain } from './storedTurnRows.js';

/** Settings of a route on which the lifetime of stored rows depends. */
export type RetainingRoute = Pick<GatewayRoute, 'retentionMilliseconds' | 'timeoutMilliseconds'>;

/** Longest lifetime of a row, as a multiple of the time for which it must be kept. */
const MAXIMUM_LIFETIME_FACTOR = 16;

/**
 * Returns the time for which all that a turn is composed from must be kept when the turn is stored, in
 * milliseconds: until its response has ended, its retention is over and the request that continues it has
 * read the rows.
 *
 * @example
 * computeKeptMilliseconds({ retentionMilliseconds: 60_000, timeoutMilliseconds: 3_000 }); // 66_000
 */
export function computeKeptMilliseconds(route: RetainingRoute): number {
  return route.retentionMilliseconds + 2 * route.timeoutMilliseconds;
}

/**
 * Returns the earliest time at which a row that is stored now may be removed, on the wall clock, in
 * milliseconds. The lifetime grows with the age of the conversation, so that the number of times that its
 * history is stored again grows with the logarithm of its age, up to a bound.
 *
 * @param beganAt time at which the first turn of the conversation was stored, on the wall clock
 * @example
 * computeExpiry(route, now, now); // twice the kept time from now
 */
export function computeExpiry(route: RetainingRoute, now: number, beganAt: number): number {
  const keptMilliseconds = computeKeptMilliseconds(route);
  const ageMilliseconds = Math.max(0, now - beganAt);
  return (
    now +
    Math.min(2 * keptMilliseconds + ageMilliseconds, MAXIMUM_LIFETIME_FACTOR * keptMilliseconds)
  );
}

/**
 * Whether a row outlives the retention of a turn that is stored now and refers to it.
 *
 * @example
 * chain.every(turn => outlivesRetention(turn, route, timers.wallClock()));
 */
export function outlivesRetention(
  { expiresAt }: Pick<StoredTurn, 'expiresAt'>,
  route: RetainingRoute,
  now: number,
): boolean {
  return expiresAt >= now + computeKeptMilliseconds(route);
}

/**
 * Returns the time at which the first turn of a conversation was stored, on the wall clock, in milliseconds;
 * `undefined` if none of its rows tells it.
 *
 * @example
 * const beganAt = findBeginning(chain) ?? timers.wallClock();
 */
export function findBeginning(chain: TurnChain): number | undefined {
  return chain.find(({ beganAt }) => beganAt !== undefined)?.beganAt;
}
