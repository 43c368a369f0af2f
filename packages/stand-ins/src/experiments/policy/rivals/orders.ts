import type { ProgramOrder, QueueItem } from '@zincring/scheduling';

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
