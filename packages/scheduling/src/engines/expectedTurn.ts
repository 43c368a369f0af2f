import type { CostEstimate } from './serviceCosts.js';

/** What is known of an engine that a turn may be sent to. */
export interface EngineStanding {
  readonly slots: number;
  /** Turns of this instance in flight there. */
  readonly inFlight: number;
  /** Prompt tokens of the turn that it would have to compute. */
  readonly uncachedTokens: number;
  /** Factor on the time that it takes. */
  readonly slowness: number;
}

/**
 * Estimates the time from sending a turn to an engine to its end: prefill of the tokens that are not
 * cached, the turn itself, sharing of the batch, and the queue. It answers loads under which engines
 * are unevenly fast or unevenly busy.
 *
 * @example
 * expectTurnMilliseconds(costs.estimate(now), { inFlight: 1, slots: 12, slowness: 1, uncachedTokens: 0 });
 */
export function expectTurnMilliseconds(
  { batchMilliseconds, prefillMillisecondsPerToken, turnMilliseconds }: CostEstimate,
  { inFlight, slots, slowness, uncachedTokens }: EngineStanding,
): number {
  const queued = Math.max(0, inFlight + 1 - slots);
  return (
    (turnMilliseconds +
      uncachedTokens * prefillMillisecondsPerToken +
      inFlight * batchMilliseconds +
      queued * turnMilliseconds) *
    slowness
  );
}
