import type { Epoch, IncarnationId, ShardId, WorkspaceName } from '@zincring/core';

import { encodeGroup } from '@zincring/coordination';
import { WorkspaceUse } from '@zincring/scheduling';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { measureHeapBytes, measureOperation } from './measureOperation.js';

const INSTANCE_COUNTS = [4, 38, 380];
const GROUP_SIZES = [10, 100, 1_000];
const WORKSPACES_PER_MESSAGE = 64;
const MERGE_COUNT = 5_000;
const GROUP_COUNT = 500;
const RECORD_PAYLOAD = 'x'.repeat(300);

/** Measures merging the announced use of each workspace, and encoding log groups. */
export class GossipBenchmark implements Benchmark {
  public run(): readonly BenchmarkResult[] {
    return [...INSTANCE_COUNTS.map(measureMerge), ...GROUP_SIZES.map(measureEncoding)];
  }
}

function measureMerge(size: number): BenchmarkResult {
  const heapBefore = measureHeapBytes();
  const workspaceUse = new WorkspaceUse(() => undefined);
  const workspaces = Array.from(
    { length: WORKSPACES_PER_MESSAGE },
    (_, index) => `workspace-${index}` as WorkspaceName,
  );
  const mergeTotals = (index: number): void => {
    workspaceUse.applyTotals(
      `instance-${index % size}` as IncarnationId,
      workspaces.map(workspace => ({ tokens: index, workspace })),
    );
  };
  for (let index = 0; index < size; index++) {
    mergeTotals(index);
  }
  const retainedBytesPerUnit = (measureHeapBytes() - heapBefore) / size;
  const cost = measureOperation(MERGE_COUNT, mergeTotals);
  const operation = `gossip merge of ${WORKSPACES_PER_MESSAGE} workspaces`;
  return { cost, dimension: 'instances', retainedBytesPerUnit, operation, size };
}

function measureEncoding(size: number): BenchmarkResult {
  const records = Array.from({ length: size }, (_, index) => ({
    epoch: 1 as Epoch,
    payload: RECORD_PAYLOAD,
    shard: index as ShardId,
  }));
  const cost = measureOperation(GROUP_COUNT, () => {
    encodeGroup(records);
  });
  return {
    cost: {
      allocatedBytes: cost.allocatedBytes / size,
      nanoseconds: cost.nanoseconds / size,
    },
    dimension: 'records a group',
    retainedBytesPerUnit: undefined,
    operation: 'log append, encoding of one record',
    size,
  };
}
