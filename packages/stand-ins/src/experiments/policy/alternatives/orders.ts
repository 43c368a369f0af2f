import type { ProgramOrder, QueueItem } from '@zincring/scheduling';

import { AttainedServiceOrder } from '@zincring/scheduling';

/** Within a workspace: first come, first served. */
export class FirstComeOrder implements ProgramOrder {
  public keyOf(_item: QueueItem, now: number): number {
    return now;
  }
}

/** Milliseconds of waiting that outweigh one token of the turn. */
const MILLISECONDS_PER_TOKEN = 1;

/** Within a workspace: the turn with the fewest tokens first, with aging. */
export class ShortestTurnOrder implements ProgramOrder {
  public keyOf(item: QueueItem, now: number): number {
    return now + item.estimatedTokens * MILLISECONDS_PER_TOKEN;
  }
}

const MILLISECONDS_PER_ATTAINED_TOKEN = 0.1;
const LONGEST_HOLD_MILLISECONDS = 20_000;

/** Within a workspace: least attained service, with age counted from the call and not the program. */
export class CallAgeOrder implements ProgramOrder {
  public keyOf(item: QueueItem, now: number): number {
    const hold = item.attainedTokens * MILLISECONDS_PER_ATTAINED_TOKEN;
    return now + Math.min(LONGEST_HOLD_MILLISECONDS, hold);
  }
}

/** Programs whose start is remembered, at most. */
const MAX_PROGRAMS = 65_536;

/** Within a workspace: the program that made its first call earliest. */
export class OldestProgramOrder implements ProgramOrder {
  private readonly order = new AttainedServiceOrder({
    deadlineSlackMilliseconds: 0,
    maxDelayMilliseconds: 0,
    maxPrograms: MAX_PROGRAMS,
    millisecondsPerToken: 0,
  });

  public keyOf(item: QueueItem, now: number): number {
    return this.order.keyOf(item, now);
  }
}
