import type { QueueItem } from './workQueue.js';

/** Orders the work within one workspace; lower keys run first. */
export interface ProgramOrder {
  /** Key of an item that arrived at `now`, in milliseconds. It never changes while the item waits. */
  keyOf(item: QueueItem, now: number): number;
}

/** How attained service and deadlines shift the order. */
export interface AttainedServiceOptions {
  /** Milliseconds of waiting that outweigh one token of attained service. */
  readonly millisecondsPerToken: number;
  /** Most that attained service can hold an item back, in milliseconds. */
  readonly longestHoldMilliseconds: number;
  /** How long before its deadline an item counts as due, in milliseconds. */
  readonly deadlineSlackMilliseconds: number;
}

/** Options for work whose calls take seconds. */
export const defaultAttainedServiceOptions: AttainedServiceOptions = {
  deadlineSlackMilliseconds: 2_000,
  longestHoldMilliseconds: 20_000,
  millisecondsPerToken: 0.1,
};

/**
 * Least attained service with aging. Since waiting counts the same for every item, an item's key
 * is fixed at its arrival: the arrival time plus a delay that grows with the tokens that its
 * program has been served. A deadline caps the key.
 *
 * @example
 * const order = new AttainedServiceOrder();
 * order.keyOf(item, now);
 */
export class AttainedServiceOrder implements ProgramOrder {
  public constructor(
    private readonly options: AttainedServiceOptions = defaultAttainedServiceOptions,
  ) {}

  public keyOf(item: QueueItem, now: number): number {
    const { deadlineSlackMilliseconds, longestHoldMilliseconds, millisecondsPerToken } =
      this.options;
    const hold = Math.min(longestHoldMilliseconds, item.attainedTokens * millisecondsPerToken);
    const dueAt = (item.deadline ?? Infinity) - deadlineSlackMilliseconds;
    return Math.min(now + hold, dueAt);
  }
}
