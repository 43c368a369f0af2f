import type { HeapEntry } from '@zincring/scheduling';

import { LazyHeap } from '@zincring/scheduling';

interface Event extends HeapEntry {
  readonly run: () => void;
}

/**
 * Event queue on virtual time: events run in order of time, then of creation.
 *
 * @example
 * const events = new EventQueue();
 * events.after(5, () => undefined);
 * events.runUntil(100);
 */
export class EventQueue {
  private readonly events = new LazyHeap<Event>();
  private currentTime = 0;
  private nextOrder = 0;

  /** Virtual time since the start, in milliseconds. */
  public get now(): number {
    return this.currentTime;
  }

  /** Schedules a callback after a delay. */
  public after(milliseconds: number, run: () => void): void {
    const key = this.currentTime + Math.max(0, milliseconds);
    this.events.push({ isStale: false, key, order: this.nextOrder++, run });
  }

  /** Runs all events up to a time, or until a condition holds. */
  public runUntil(time: number, isDone: () => boolean = () => false): void {
    for (let event = this.events.peek(); event !== undefined; event = this.events.peek()) {
      if (event.key > time || isDone()) {
        return;
      }
      this.events.pop();
      this.currentTime = event.key;
      event.run();
    }
  }
}
