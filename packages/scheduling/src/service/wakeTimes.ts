import type { HeapEntry } from '../queue/lazyHeap.js';

import { LazyHeap } from '../queue/lazyHeap.js';

/**
 * Times at which waiting work may become able to run, earliest first. Past times are dropped when
 * others are added, which bounds memory by the number of future times.
 *
 * @example
 * const times = new WakeTimes();
 * times.add(1_200, 1_000);
 * times.peekAfter(1_000); // 1200
 */
export class WakeTimes {
  private readonly times = new LazyHeap<HeapEntry>();
  private nextOrder = 0;

  /** Adds a time unless it has passed. */
  public add(time: number, now: number): void {
    this.dropUntil(now);
    if (time > now) {
      this.times.push({ isStale: false, key: time, order: this.nextOrder++ });
    }
  }

  /** Returns the earliest future time. */
  public peekAfter(now: number): number | undefined {
    this.dropUntil(now);
    return this.times.peek()?.key;
  }

  private dropUntil(now: number): void {
    while ((this.times.peek()?.key ?? Infinity) <= now) {
      this.times.pop();
    }
  }
}
