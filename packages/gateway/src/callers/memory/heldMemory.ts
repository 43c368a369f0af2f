/** Bounds of what one instance holds for its callers and replicas. */
export interface HeldMemoryOptions {
  /** Bytes that the instance holds for all requests together; unlimited by default. */
  readonly capacityBytes?: number;
  /** Bytes that the instance holds for one caller who reads more slowly than the replica responds. */
  readonly maximumResponseBytes?: number;
}

/** Something held that may be given up for others, since its request has not run. */
export interface Droppable {
  readonly heldBytes: number;
  /** Time since which it has held them, on the monotonic clock in milliseconds. */
  readonly heldSince: number;
  /** Gives it up and releases its memory at once. */
  drop(): void;
}

/** Returns what was held; further calls have no effect. */
export type ReleaseMemory = () => void;

const defaultOptions: Required<HeldMemoryOptions> = {
  capacityBytes: Infinity,
  maximumResponseBytes: 1024 * 1024,
};

/**
 * Counts the bytes of requests and responses that this instance holds, and decides what it may still
 * take in. The load are callers and replicas that read slowly: replicas cut off a response that is not
 * read for some seconds, so a response is read ahead of its caller for as long as there is memory. When
 * memory is short, the responses that are far ahead wait first, and requests that have not been read
 * are refused before anything has run.
 *
 * @example
 * const memory = new HeldMemory({ capacityBytes: 40_000_000 });
 * const release = memory.hold(body.length);
 * memory.isFull; // false
 * release();
 */
export class HeldMemory {
  private readonly options: Required<HeldMemoryOptions>;
  private readonly droppables = new Set<Droppable>();
  private heldBytes = 0;

  public constructor(options: HeldMemoryOptions = {}) {
    this.options = { ...defaultOptions, ...options };
  }

  /** Bytes that are held now. */
  public get bytes(): number {
    return this.heldBytes;
  }

  /** Whether further requests are to be refused. */
  public get isFull(): boolean {
    return this.heldBytes >= this.options.capacityBytes;
  }

  /** Whether some bytes more can be held; something can be held whenever nothing is. */
  public hasRoomFor(bytes: number): boolean {
    return this.heldBytes === 0 || this.heldBytes + bytes <= this.options.capacityBytes;
  }

  /** Counts bytes until they are released. */
  public hold(bytes: number): ReleaseMemory {
    this.heldBytes += bytes;
    let isHeld = true;
    return () => {
      if (isHeld) {
        isHeld = false;
        this.heldBytes -= bytes;
      }
    };
  }

  /** Adds something that may be given up when memory is full. */
  public addDroppable(droppable: Droppable): void {
    this.droppables.add(droppable);
  }

  /** Removes something that was completed or given up. */
  public removeDroppable(droppable: Droppable): void {
    this.droppables.delete(droppable);
  }

  /**
   * While memory is full, gives up what has held the most for the longest, so that what arrives now
   * finds room whoever fills the memory.
   *
   * @param now time on the monotonic clock, in milliseconds
   */
  public makeRoom(now: number): void {
    while (this.isFull) {
      const droppable = this.findGreediest(now);
      if (droppable === undefined) {
        return;
      }
      this.droppables.delete(droppable);
      droppable.drop();
    }
  }

  private findGreediest(now: number): Droppable | undefined {
    let greediest: Droppable | undefined;
    let most = 0;
    for (const droppable of this.droppables) {
      const heldMilliseconds = now - droppable.heldSince;
      // What arrived just now counts by its size alone.
      const weight = droppable.heldBytes * (1 + heldMilliseconds);
      if (weight > most) {
        greediest = droppable;
        most = weight;
      }
    }
    return greediest;
  }

  /**
   * Whether a response may be read further while its caller has yet to read the given bytes of it. The
   * share of a response shrinks with the memory that is left, so that many slow callers do not use up
   * what other requests need. Nothing is read ahead while the memory is not known.
   */
  public allowsReadingAhead(unreadBytes: number): boolean {
    const { capacityBytes, maximumResponseBytes } = this.options;
    if (capacityBytes === Infinity) {
      return false;
    }
    const freeBytes = capacityBytes - this.heldBytes;
    return unreadBytes <= (maximumResponseBytes * freeBytes) / capacityBytes;
  }
}
