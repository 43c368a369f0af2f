import { Heap } from 'heap-js';

/** An element of a {@link LazyHeap}. */
export interface HeapEntry {
  /** Elements with lower keys come first. */
  readonly key: number;
  /** Breaks ties between equal keys. */
  readonly order: number;
  /** Set when the element no longer counts; the heap drops it when it comes to the top. */
  isStale: boolean;
}

/** Stale elements that are kept at most beside as many live ones. */
const STALE_ALLOWANCE = 64;

function compareEntries(left: HeapEntry, right: HeapEntry): number {
  return left.key - right.key || left.order - right.order;
}

/**
 * A binary heap whose elements are removed by marking them: every operation costs logarithmic time,
 * amortised, and stale elements never outnumber the live ones by more than a constant.
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

  /** The live element with the lowest key. */
  public peek(): Entry | undefined {
    this.dropStaleTop();
    return this.heap.peek();
  }

  /** Takes the live element with the lowest key. */
  public pop(): Entry | undefined {
    this.dropStaleTop();
    return this.heap.pop();
  }

  /** Marks an element that is in the heap as removed. */
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
