import type { UpstreamId } from '@zincring/core';
import type { BodyDigest, CrashId } from '@zincring/scheduling';

import { defaultQuarantineOptions, Quarantine, RetryBudget } from '@zincring/scheduling';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { measureHeapBytes, measureOperation } from './measureOperation.js';

const BODY_COUNTS = [100, 1_000, 10_000, 100_000];
const INSTANCE_COUNTS = [4, 38, 380];
const OPERATION_COUNT = 200_000;

/** Measures look-ups in the quarantine, and attempts and retries in the retry budget. */
export class RetryBenchmark implements Benchmark {
  public run(): readonly BenchmarkResult[] {
    return [...BODY_COUNTS.map(measureQuarantine), ...INSTANCE_COUNTS.map(measureRetryBudget)];
  }
}

function measureQuarantine(size: number): BenchmarkResult {
  const heapBefore = measureHeapBytes();
  const quarantine = new Quarantine({ ...defaultQuarantineOptions, maximumBodies: size });
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
  const retainedBytesPerUnit = (measureHeapBytes() - heapBefore) / size;
  const bodyDigests = Array.from(
    { length: 1_000 },
    (_, index) => `body-${index * 7}` as BodyDigest,
  );
  const cost = measureOperation(OPERATION_COUNT, index => {
    quarantine.refusedUntil(bodyDigests[index % bodyDigests.length] ?? ('' as BodyDigest), index);
  });
  return { cost, dimension: 'bodies', retainedBytesPerUnit, operation: 'quarantine look-up', size };
}

function measureRetryBudget(size: number): BenchmarkResult {
  const retryBudget = new RetryBudget({
    instances: size,
    maximumSaved: 50,
    reservePerSecond: 10,
    share: 0.1,
  });
  const cost = measureOperation(OPERATION_COUNT, index => {
    retryBudget.recordFirstAttempt();
    retryBudget.tryAcquireRetry(index);
  });
  return {
    cost,
    dimension: 'instances',
    retainedBytesPerUnit: undefined,
    operation: 'retry budget, attempt and retry',
    size,
  };
}
