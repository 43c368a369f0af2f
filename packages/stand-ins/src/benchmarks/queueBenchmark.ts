import type { ProgramId, WorkspaceName } from '@zincring/core';
import type { QueueItem, WorkId } from '@zincring/scheduling';

import { FairWorkQueue } from '@zincring/scheduling';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { heapInUse, measureOperation } from './measureOperation.js';

const PROGRAM_SIZES = [700, 7_000, 70_000, 700_000];
const WORKSPACE_SIZES = [15, 150, 1_500];
const PROGRAMS_WITH_MANY_WORKSPACES = 70_000;
const WORKSPACES_WITH_MANY_PROGRAMS = 1_500;
const OPERATIONS = 100_000;
/** A prime step through attained service, so that keys are well mixed. */
const ATTAINED_STEP = 7_919;
const ATTAINED_RANGE = 100_000;

/** Pushes and pops of the fair queue, with a standing backlog. */
export class QueueBenchmark implements Benchmark {
  public run(): readonly BenchmarkResult[] {
    return [
      ...PROGRAM_SIZES.map(size =>
        measureQueue('programs waiting', size, WORKSPACES_WITH_MANY_PROGRAMS, size),
      ),
      ...WORKSPACE_SIZES.map(size =>
        measureQueue('workspaces', PROGRAMS_WITH_MANY_WORKSPACES, size, size),
      ),
    ];
  }
}

function measureQueue(
  dimension: string,
  programs: number,
  workspaces: number,
  size: number,
): BenchmarkResult {
  const items = Array.from({ length: programs }, (_, index) => createItem(index, workspaces));
  const heapBefore = heapInUse();
  const queue = new FairWorkQueue({
    maxItems: programs + OPERATIONS,
    maxItemsPerWorkspace: programs + OPERATIONS,
    weightOf: () => 1,
  });
  for (const [index, item] of items.entries()) {
    queue.push(item, index);
  }
  const keptBytes = heapInUse() - heapBefore;
  const cost = measureOperation(OPERATIONS, index => {
    const item = queue.pop(index, () => true);
    if (item !== undefined) {
      queue.settle(item.id, item.estimatedTokens);
      // A new id: a map that deletes and adds one key again and again chains its deleted places.
      queue.push({ ...item, id: `again-${index}` as WorkId }, programs + index);
    }
  });
  const keptBytesPerUnit = dimension === 'workspaces' ? undefined : keptBytes / size;
  return { cost, dimension, keptBytesPerUnit, operation: 'queue pop, settle, push', size };
}

function createItem(index: number, workspaces: number): QueueItem {
  return {
    attainedTokens: (index * ATTAINED_STEP) % ATTAINED_RANGE,
    deadline: undefined,
    estimatedTokens: 500 + (index % 1_000),
    id: `work-${index}` as WorkId,
    program: `program-${index}` as ProgramId,
    workspace: `workspace-${index % workspaces}` as WorkspaceName,
  };
}
