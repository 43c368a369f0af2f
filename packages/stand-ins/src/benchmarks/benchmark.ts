import type { OperationCost } from './measureOperation.js';

/** One line of the table. */
export interface BenchmarkResult {
  readonly operation: string;
  /** What is counted, such as programs or replicas. */
  readonly dimension: string;
  readonly size: number;
  readonly cost: OperationCost;
  /** Bytes that are kept for each unit of the size; `undefined` where nothing is kept. */
  readonly keptBytesPerUnit: number | undefined;
}

/** A set of measurements over growing sizes. */
export interface Benchmark {
  run(): readonly BenchmarkResult[];
}
