import type { UpstreamId } from '@zincring/core';
import type { BodyDigest, CrashId } from '@zincring/scheduling';

import { defaultQuarantineOptions, Quarantine, RetryBudget } from '@zincring/scheduling';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { heapInUse, measureOperation } from './measureOperation.js';

const BODY_SIZES = [100, 1_000, 10_000, 100_000];
const INSTANCE_SIZES = [4, 38, 380];
const OPERATIONS = 200_000;

/** Quarantine and retry budget. */
export class RetryBenchmark implements Benchmark {
  public run(): readonly BenchmarkResult[] {
    return [...BODY_SIZES.map(measureQuarantine), ...INSTANCE_SIZES.map(measureBudget)];
  }
}

function measureQuarantine(size: number): BenchmarkResult {
  const heapBefore = heapInUse();
  const quarantine = new Quarantine({ ...defaultQuarantineOptions, maxBodies: size });
  for (let index = 0; index < size; index++) {
    quarantine.recordCrash(
      {
        ageMilliseconds: 0,
        body: `body-${index}` as BodyDigest,
        death: `death-${index}` as CrashId,
        upstream: `replica-${index % 12}` as UpstreamId,
      },
      0,
    );
  }
  const keptBytesPerUnit = (heapInUse() - heapBefore) / size;
  const bodies = Array.from({ length: 1_000 }, (_, index) => `body-${index * 7}` as BodyDigest);
  const cost = measureOperation(OPERATIONS, index => {
    quarantine.refusedUntil(bodies[index % bodies.length] ?? ('' as BodyDigest), index);
  });
  return { cost, dimension: 'bodies', keptBytesPerUnit, operation: 'quarantine look-up', size };
}

function measureBudget(size: number): BenchmarkResult {
  const budget = new RetryBudget({
    instances: size,
    maxSaved: 50,
    reservePerSecond: 10,
    share: 0.1,
  });
  const cost = measureOperation(OPERATIONS, index => {
    budget.recordFirstAttempt();
    budget.tryAcquireRetry(index);
  });
  return {
    cost,
    dimension: 'instances',
    keptBytesPerUnit: undefined,
    operation: 'retry budget, attempt and retry',
    size,
  };
}
