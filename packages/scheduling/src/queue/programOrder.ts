import type { ProgramId } from '@zincring/core';

import type { QueueItem } from './workQueue.js';

/** Orders the work within one workspace; lower keys run first. */
export interface ProgramOrder {
  /** Key of an item that arrives at `now`, in milliseconds. It never changes while the item waits. */
  keyOf(item: QueueItem, now: number): number;
}

/** How attained service and deadlines shift the order. */
export interface AttainedServiceOptions {
  /** Milliseconds of age that outweigh one token of attained service. */
  readonly millisecondsPerToken: number;
  /** Most that attained service can hold a program back, in milliseconds. */
  readonly longestHoldMilliseconds: number;
  /** How long before its deadline an item counts as due, in milliseconds. */
  readonly deadlineSlackMilliseconds: number;
  /** Programs whose start is remembered, at most; the one that called least recently is forgotten. */
  readonly maxPrograms: number;
}

/** Options for programs that take minutes. */
export const defaultAttainedServiceOptions: AttainedServiceOptions = {
  deadlineSlackMilliseconds: 2_000,
  longestHoldMilliseconds: 120_000,
  maxPrograms: 65_536,
  millisecondsPerToken: 6,
};

/**
 * Least attained service with aging. Age counts from the first call of the program and not from the
 * call at hand: programs that are under way come to their end before ever more are begun, which
 * keeps their prefixes in the caches. Since age grows alike for every program, the key of an item is
 * fixed: the start of its program plus a delay that grows with the tokens that it has been served.
 * A deadline caps the key.
 *
 * @example
 * const order = new AttainedServiceOrder();
 * order.keyOf(item, now);
 */
export class AttainedServiceOrder implements ProgramOrder {
  /** In order of the last call: a map keeps the order of insertion. */
  private readonly startedAt = new Map<ProgramId, number>();

  public constructor(
    private readonly options: AttainedServiceOptions = defaultAttainedServiceOptions,
  ) {}

  /** Programs whose start is remembered. */
  public get rememberedPrograms(): number {
    return this.startedAt.size;
  }

  public keyOf(item: QueueItem, now: number): number {
    const { deadlineSlackMilliseconds, longestHoldMilliseconds, millisecondsPerToken } =
      this.options;
    const hold = Math.min(longestHoldMilliseconds, item.attainedTokens * millisecondsPerToken);
    const dueAt = (item.deadline ?? Infinity) - deadlineSlackMilliseconds;
    return Math.min(this.startOf(item.program, now) + hold, dueAt);
  }

  private startOf(program: ProgramId | undefined, now: number): number {
    if (program === undefined) {
      return now;
    }
    const startedAt = this.startedAt.get(program) ?? now;
    this.startedAt.delete(program);
    this.startedAt.set(program, startedAt);
    const [leastRecent] = this.startedAt.keys();
    if (this.startedAt.size > this.options.maxPrograms && leastRecent !== undefined) {
      this.startedAt.delete(leastRecent);
    }
    return startedAt;
  }
}
