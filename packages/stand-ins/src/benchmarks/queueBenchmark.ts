import type { ProgramId, WorkspaceName } from '@zincring/core';
import type { QueueItem, WorkId } from '@zincring/scheduling';

import { FairWorkQueue } from '@zincring/scheduling';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { measureHeapBytes, measureOperation } from './measureOperation.js';

const PROGRAM_COUNTS = [700, 7_000, 70_000, 700_000];
const WORKSPACE_COUNTS = [15, 150, 1_500];
/** Number of waiting programs while the number of workspaces varies. */
const FIXED_PROGRAM_COUNT = 70_000;
/** Number of workspaces while the number of waiting programs varies. */
const FIXED_WORKSPACE_COUNT = 1_500;
const OPERATION_COUNT = 100_000;
/** Prime step between the attained tokens of consecutive items, which mixes the queue keys well. */
const ATTAINED_TOKENS_STEP = 7_919;
const ATTAINED_TOKENS_RANGE = 100_000;

/** Measures pushes to and pops from the fair queue with a constant backlog. */
export class QueueBenchmark implements Benchmark {
  public run(): readonly BenchmarkResult[] {
    return [
      ...PROGRAM_COUNTS.map(size =>
        measureQueue('programs waiting', size, FIXED_WORKSPACE_COUNT, size),
      ),
      ...WORKSPACE_COUNTS.map(size => measureQueue('workspaces', FIXED_PROGRAM_COUNT, size, size)),
    ];
  }
}

function measureQueue(
  dimension: string,
  programCount: number,
  workspaceCount: number,
  size: number,
): BenchmarkResult {
  const items = Array.from({ length: programCount }, (_, index) =>
    createItem(index, workspaceCount),
  );
  const heapBefore = measureHeapBytes();
  const queue = new FairWorkQueue({
    maximumItems: programCount + OPERATION_COUNT,
    maximumItemsPerWorkspace: programCount + OPERATION_COUNT,
    weightOf: () => 1,
  });
  for (const [index, item] of items.entries()) {
    queue.push(item, index);
  }
  const retainedBytes = measureHeapBytes() - heapBefore;
  const cost = measureOperation(OPERATION_COUNT, index => {
    const item = queue.pop(index, () => true);
    if (item !== undefined) {
      queue.settle(item.id, item.estimatedTokens);
      // A new id: a Map in which one key is deleted and added repeatedly chains its deleted entries.
      queue.push({ ...item, id: `again-${index}` as WorkId }, programCount + index);
    }
  });
  const retainedBytesPerUnit = dimension === 'workspaces' ? undefined : retainedBytes / size;
  return { cost, dimension, retainedBytesPerUnit, operation: 'queue pop, settle, push', size };
}

function createItem(index: number, workspaceCount: number): QueueItem {
  return {
    attainedTokens: (index * ATTAINED_TOKENS_STEP) % ATTAINED_TOKENS_RANGE,
    deadline: undefined,
    estimatedTokens: 500 + (index % 1_000),
    id: `work-${index}` as WorkId,
    program: `program-${index}` as ProgramId,
    workspace: `workspace-${index % workspaceCount}` as WorkspaceName,
  };
}
