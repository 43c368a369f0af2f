import type { Epoch, IncarnationId, ShardId, WorkspaceName } from '@zincring/core';

import { encodeGroup } from '@zincring/coordination';
import { WorkspaceUse } from '@zincring/scheduling';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { heapInUse, measureOperation } from './measureOperation.js';

const INSTANCE_SIZES = [4, 38, 380];
const GROUP_SIZES = [10, 100, 1_000];
const TOLD_WORKSPACES = 64;
const OPERATIONS = 5_000;
const GROUPS = 500;
const PAYLOAD = 'x'.repeat(300);

/** Merges of the use by workspace that other instances tell, and encoding of log groups. */
export class GossipBenchmark implements Benchmark {
  public run(): readonly BenchmarkResult[] {
    return [...INSTANCE_SIZES.map(measureMerge), ...GROUP_SIZES.map(measureEncode)];
  }
}

function measureMerge(size: number): BenchmarkResult {
  const heapBefore = heapInUse();
  const use = new WorkspaceUse(() => undefined);
  const workspaces = Array.from(
    { length: TOLD_WORKSPACES },
    (_, index) => `workspace-${index}` as WorkspaceName,
  );
  const hear = (index: number): void => {
    use.applyTotals(
      `instance-${index % size}` as IncarnationId,
      workspaces.map(workspace => ({ tokens: index, workspace })),
    );
  };
  for (let index = 0; index < size; index++) {
    hear(index);
  }
  const keptBytesPerUnit = (heapInUse() - heapBefore) / size;
  const cost = measureOperation(OPERATIONS, hear);
  const operation = `gossip merge of ${TOLD_WORKSPACES} workspaces`;
  return { cost, dimension: 'instances', keptBytesPerUnit, operation, size };
}

function measureEncode(size: number): BenchmarkResult {
  const records = Array.from({ length: size }, (_, index) => ({
    epoch: 1 as Epoch,
    payload: PAYLOAD,
    shard: index as ShardId,
  }));
  const cost = measureOperation(GROUPS, () => {
    encodeGroup(records);
  });
  return {
    cost: {
      allocatedBytes: cost.allocatedBytes / size,
      nanoseconds: cost.nanoseconds / size,
    },
    dimension: 'records a group',
    keptBytesPerUnit: undefined,
    operation: 'log append, encoding of one record',
    size,
  };
}
