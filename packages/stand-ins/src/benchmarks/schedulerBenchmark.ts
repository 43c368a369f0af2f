import type { AvailabilityZone, ProgramId, UpstreamId, WorkspaceName } from '@zincring/core';
import type { ScheduledItem, WorkId } from '@zincring/scheduling';

import { CostReplicaChooser, FairWorkQueue, WindowedServiceScheduler } from '@zincring/scheduling';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { measureOperation } from './measureOperation.js';

const REPLICA_COUNTS = [12, 120, 1_200, 12_000];
const WORKSPACE_COUNT = 1_500;
const OPERATION_COUNT = 20_000;
const zone = 'zone-0' as AvailabilityZone;

/** Measures the scheduling of one call: submission, choice of a replica, dispatch and end. */
export class SchedulerBenchmark implements Benchmark {
  public run(): readonly BenchmarkResult[] {
    return REPLICA_COUNTS.map(size => {
      const scheduler = createScheduler(size);
      const cost = measureOperation(OPERATION_COUNT, index => {
        scheduler.submit(createItem(index), index);
        scheduler.nextWakeAt(index);
        const dispatch = scheduler.next(index);
        if (dispatch !== undefined) {
          scheduler.recordEnd(
            { end: 'succeeded', id: dispatch.item.id, usedTokens: 1_000 },
            index + 1,
          );
        }
      });
      return {
        cost,
        dimension: 'replicas',
        retainedBytesPerUnit: undefined,
        operation: 'submit, next wake, next, end',
        size,
      };
    });
  }
}

function createScheduler(replicaCount: number): WindowedServiceScheduler<ScheduledItem> {
  let seed = 1;
  const scheduler = new WindowedServiceScheduler<ScheduledItem>({
    belowShareOverflow: 2,
    chooser: new CostReplicaChooser({
      batchDelayMillisecondsPerToken: 0.06,
      callMilliseconds: 4_000,
      maximumPrefixes: 10_000,
      prefillMillisecondsPerToken: 0.17,
      random: () => (seed = (seed * 16_807) % 2_147_483_647) / 2_147_483_647,
      sharingMilliseconds: 50,
      slotsPerReplica: 16,
      zone,
      zoneMilliseconds: 2,
    }),
    queue: new FairWorkQueue({
      maximumItems: OPERATION_COUNT,
      maximumItemsPerWorkspace: OPERATION_COUNT,
      weightOf: () => 1,
    }),
    suspicionMilliseconds: 2_000,
    window: { callMilliseconds: 4_000, instances: 1, maximumCalls: 16, targetWaiting: 2 },
  });
  scheduler.update(
    Array.from({ length: replicaCount }, (_, index) => ({
      id: `replica-${index}` as UpstreamId,
      zone,
    })),
  );
  return scheduler;
}

function createItem(index: number): ScheduledItem {
  return {
    attainedTokens: 0,
    deadline: undefined,
    enqueuedAt: index,
    estimatedTokens: 1_000,
    excluded: new Set(),
    id: `work-${index}` as WorkId,
    prefixes: [],
    program: `program-${index}` as ProgramId,
    promptTokens: 1_000,
    workspace: `workspace-${index % WORKSPACE_COUNT}` as WorkspaceName,
  };
}
