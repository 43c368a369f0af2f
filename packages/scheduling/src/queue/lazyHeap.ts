import { Heap } from 'heap-js';

/** An element of a {@link LazyHeap}. */
export interface HeapEntry {
  /** Elements with lower keys come first. */
  readonly key: number;
  /** Breaks ties between equal keys. */
  readonly order: number;
  /** Whether the element has been discarded; the heap drops it when it reaches the top. */
  isStale: boolean;
}

/** Number by which stale elements may exceed the live ones before the heap is rebuilt. */
const STALE_ALLOWANCE = 64;

function compareEntries(left: HeapEntry, right: HeapEntry): number {
  return left.key - right.key || left.order - right.order;
}

/**
 * A binary heap with lazy deletion: removed elements are marked as stale and dropped later. Every
 * operation takes amortised logarithmic time, and stale elements never outnumber the live ones by
 * more than a constant.
 *
 * @example
 * const heap = new LazyHeap<HeapEntry>();
 * heap.push({ isStale: false, key: 3, order: 0 });
 * heap.peek()?.key; // 3
 */
export class LazyHeap<Entry extends HeapEntry> {
  private heap = new Heap<Entry>(compareEntries);
  private staleCount = 0;

  /** Number of live elements. */
  public get size(): number {
    return this.heap.length - this.staleCount;
  }

  /** Adds an element. */
  public push(entry: Entry): void {
    this.heap.push(entry);
  }

  /** Returns the live element with the lowest key. */
  public peek(): Entry | undefined {
    this.dropStaleTop();
    return this.heap.peek();
  }

  /** Removes and returns the live element with the lowest key. */
  public pop(): Entry | undefined {
    this.dropStaleTop();
    return this.heap.pop();
  }

  /** Removes an element of the heap by marking it as stale. */
  public discard(entry: Entry): void {
    if (entry.isStale) {
      return;
    }
    entry.isStale = true;
    this.staleCount++;
    if (this.staleCount > this.size + STALE_ALLOWANCE) {
      this.compact();
    }
  }

  private dropStaleTop(): void {
    while (this.heap.peek()?.isStale === true) {
      this.heap.pop();
      this.staleCount--;
    }
  }

  private compact(): void {
    const live = this.heap.toArray().filter(entry => !entry.isStale);
    this.heap = new Heap<Entry>(compareEntries);
    this.heap.init(live);
    this.staleCount = 0;
  }
}
