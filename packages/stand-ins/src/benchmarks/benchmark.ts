import type { OperationCost } from './measureOperation.js';

/** One row of the benchmark table. */
export interface BenchmarkResult {
  readonly operation: string;
  /** Name of the quantity that varies, such as programs or replicas. */
  readonly dimension: string;
  readonly size: number;
  readonly cost: OperationCost;
  /** Heap bytes retained for each unit of the size; `undefined` where none are measured. */
  readonly retainedBytesPerUnit: number | undefined;
}

/** A set of measurements over increasing sizes. */
export interface Benchmark {
  run(): readonly BenchmarkResult[];
}
