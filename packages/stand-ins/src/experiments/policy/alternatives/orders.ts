import type { ProgramOrder, QueueItem } from '@zincring/scheduling';

import { AttainedServiceOrder } from '@zincring/scheduling';

/** Orders the items of a workspace first come, first served. */
export class FirstComeOrder implements ProgramOrder {
  public keyOf(_item: QueueItem, now: number): number {
    return now;
  }
}

/** Waiting time that offsets one estimated token of the turn, in milliseconds. */
const MILLISECONDS_PER_TOKEN = 1;

/** Orders the items of a workspace by estimated tokens of the turn, fewest first, with aging. */
export class ShortestTurnOrder implements ProgramOrder {
  public keyOf(item: QueueItem, now: number): number {
    return now + item.estimatedTokens * MILLISECONDS_PER_TOKEN;
  }
}

const MILLISECONDS_PER_ATTAINED_TOKEN = 0.1;
const MAXIMUM_DELAY_MILLISECONDS = 20_000;

/**
 * Orders the items of a workspace by least attained service, with the age counted from the call and
 * not from the program.
 */
export class CallAgeOrder implements ProgramOrder {
  public keyOf(item: QueueItem, now: number): number {
    const delayMilliseconds = item.attainedTokens * MILLISECONDS_PER_ATTAINED_TOKEN;
    return now + Math.min(MAXIMUM_DELAY_MILLISECONDS, delayMilliseconds);
  }
}

/** Maximum number of programs whose start is stored. */
const MAXIMUM_PROGRAMS = 65_536;

/** Orders the items of a workspace by the first call of their program, earliest first. */
export class OldestProgramOrder implements ProgramOrder {
  private readonly order = new AttainedServiceOrder({
    deadlineSlackMilliseconds: 0,
    maximumDelayMilliseconds: 0,
    maximumPrograms: MAXIMUM_PROGRAMS,
    millisecondsPerToken: 0,
  });

  public keyOf(item: QueueItem, now: number): number {
    return this.order.keyOf(item, now);
  }
}
