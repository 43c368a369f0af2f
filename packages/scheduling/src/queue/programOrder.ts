import type { ProgramId } from '@zincring/core';

import type { QueueItem } from './workQueue.js';

import { trimOldest } from '../util/trimOldest.js';

/** Orders the work within one workspace; lower keys run first. */
export interface ProgramOrder {
  /**
   * Returns the key of an item that arrives at `now`, in milliseconds; it stays the same while the
   * item waits.
   */
  keyOf(item: QueueItem, now: number): number;
}

/** Options of an {@link AttainedServiceOrder}. */
export interface AttainedServiceOptions {
  /** Age that offsets one token of attained service, in milliseconds. */
  readonly millisecondsPerToken: number;
  /** Maximum delay of a program through attained service, in milliseconds. */
  readonly maximumDelayMilliseconds: number;
  /** Time before its deadline at which an item counts as due, in milliseconds. */
  readonly deadlineSlackMilliseconds: number;
  /**
   * Maximum number of programs whose start time is kept; the one that started first is dropped
   * first.
   */
  readonly maximumPrograms: number;
}

/** Default options, for programs that run for minutes. */
export const defaultAttainedServiceOptions: AttainedServiceOptions = {
  deadlineSlackMilliseconds: 2_000,
  maximumDelayMilliseconds: 120_000,
  maximumPrograms: 65_536,
  millisecondsPerToken: 6,
};

/**
 * Order by least attained service with aging. Age counts from the first call of the program and not
 * from the current call: programs in progress finish before more are started, which keeps their
 * prefixes cached. Since all programs age at the same rate, the key of an item is constant: the
 * start time of its program plus a delay that grows with the tokens that the program has been
 * served. A deadline caps the key.
 *
 * @example
 * const order = new AttainedServiceOrder();
 * order.keyOf(item, now);
 */
export class AttainedServiceOrder implements ProgramOrder {
  /** Ordered by start time: a map keeps the order of insertion. */
  private readonly startTimes = new Map<ProgramId, number>();

  public constructor(
    private readonly options: AttainedServiceOptions = defaultAttainedServiceOptions,
  ) {}

  /** Number of programs whose start time is kept. */
  public get programCount(): number {
    return this.startTimes.size;
  }

  public keyOf(item: QueueItem, now: number): number {
    const { deadlineSlackMilliseconds, maximumDelayMilliseconds, millisecondsPerToken } =
      this.options;
    const delay = Math.min(maximumDelayMilliseconds, item.attainedTokens * millisecondsPerToken);
    const dueAt = (item.deadline ?? Infinity) - deadlineSlackMilliseconds;
    return Math.min(this.getOrRecordStart(item.program, now) + delay, dueAt);
  }

  private getOrRecordStart(program: ProgramId | undefined, now: number): number {
    if (program === undefined) {
      return now;
    }
    const startedAt = this.startTimes.get(program);
    if (startedAt !== undefined) {
      return startedAt;
    }
    this.startTimes.set(program, now);
    trimOldest(this.startTimes, this.options.maximumPrograms);
    return now;
  }
}
