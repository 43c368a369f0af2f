/** What one operation costs. */
export interface OperationCost {
  readonly nanoseconds: number;
  /** Bytes of heap that each operation allocated, before any collection. */
  readonly allocatedBytes: number;
}

const ROUNDS = 5;
const WARM_UP_SHARE = 0.2;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Collects garbage, where the process was started with `--expose-gc`. */
export function collectGarbage(): void {
  globalThis.gc?.();
}

/** Bytes of heap in use after a collection. */
export function heapInUse(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/**
 * Measures an operation: the median over several rounds of the time of one, and the bytes that one
 * allocates.
 *
 * @example
 * measureOperation(10_000, index => queue.push(items[index], 0));
 */
export function measureOperation(
  operations: number,
  operation: (index: number) => void,
): OperationCost {
  let index = 0;
  const runMany = (count: number): void => {
    for (let done = 0; done < count; done++) {
      operation(index++);
    }
  };
  runMany(Math.ceil(operations * WARM_UP_SHARE));
  const perRound = Math.ceil(operations / ROUNDS);
  const times: number[] = [];
  const allocations: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    collectGarbage();
    const heapBefore = process.memoryUsage().heapUsed;
    const startedAt = performance.now();
    runMany(perRound);
    const elapsed = performance.now() - startedAt;
    times.push((elapsed * NANOSECONDS_PER_MILLISECOND) / perRound);
    allocations.push((process.memoryUsage().heapUsed - heapBefore) / perRound);
  }
  return { allocatedBytes: Math.max(0, median(allocations)), nanoseconds: median(times) };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
