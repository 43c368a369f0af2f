/** Cost of one operation. */
export interface OperationCost {
  readonly nanoseconds: number;
  /** Heap bytes that each operation allocates, before any garbage collection. */
  readonly allocatedBytes: number;
}

const ROUNDS = 5;
const WARM_UP_SHARE = 0.2;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Runs the garbage collector if the process exposes it (`--expose-gc`). */
export function collectGarbage(): void {
  globalThis.gc?.();
}

/** Returns the heap bytes in use after a garbage collection. */
export function measureHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/**
 * Measures the time and the allocated bytes of one operation, each as the median over several
 * rounds.
 *
 * @example
 * measureOperation(10_000, index => queue.push(items[index], 0));
 */
export function measureOperation(
  operationCount: number,
  operation: (index: number) => void,
): OperationCost {
  let index = 0;
  const runOperations = (count: number): void => {
    for (let done = 0; done < count; done++) {
      operation(index++);
    }
  };
  runOperations(Math.ceil(operationCount * WARM_UP_SHARE));
  const operationsPerRound = Math.ceil(operationCount / ROUNDS);
  const nanosecondsPerOperation: number[] = [];
  const bytesPerOperation: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    collectGarbage();
    const heapBefore = process.memoryUsage().heapUsed;
    const startedAt = performance.now();
    runOperations(operationsPerRound);
    const elapsed = performance.now() - startedAt;
    nanosecondsPerOperation.push((elapsed * NANOSECONDS_PER_MILLISECOND) / operationsPerRound);
    bytesPerOperation.push((process.memoryUsage().heapUsed - heapBefore) / operationsPerRound);
  }
  return {
    allocatedBytes: Math.max(0, median(bytesPerOperation)),
    nanoseconds: median(nanosecondsPerOperation),
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
