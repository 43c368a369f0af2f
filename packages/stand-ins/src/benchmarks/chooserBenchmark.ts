import type { AvailabilityZone, UpstreamId } from '@zincring/core';
import type { PlacementRequest, PrefixDigest, PromptPrefix } from '@zincring/scheduling';

import { CostReplicaChooser } from '@zincring/scheduling';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { measureHeapBytes, measureOperation } from './measureOperation.js';

const REPLICA_COUNTS = [12, 120, 1_200, 12_000];
const PROGRAM_COUNTS = [1_850, 18_500, 185_000];
/** Number of replicas while the number of programs varies. */
const FIXED_REPLICA_COUNT = 1_200;
/** Number of programs while the number of replicas varies. */
const FIXED_PROGRAM_COUNT = 1_850;
/** Prefixes of a program of six turns: one for the prompt and one for the output of each turn. */
const PREFIXES_PER_PROGRAM = 12;
const TOKENS_PER_PREFIX = 1_000;
const OPERATION_COUNT = 20_000;
const ZONE_COUNT = 12;

/** Measures the choice of a replica when the chooser has recorded the prefixes of every program. */
export class ChooserBenchmark implements Benchmark {
  public run(): readonly BenchmarkResult[] {
    return [
      ...REPLICA_COUNTS.map(size => measureChooser('replicas', size, FIXED_PROGRAM_COUNT, size)),
      ...PROGRAM_COUNTS.map(size => measureChooser('programs', FIXED_REPLICA_COUNT, size, size)),
    ];
  }
}

function measureChooser(
  dimension: string,
  replicaCount: number,
  programCount: number,
  size: number,
): BenchmarkResult {
  const heapBefore = measureHeapBytes();
  const chooser = createChooser(replicaCount, programCount);
  for (let programIndex = 0; programIndex < programCount; programIndex++) {
    chooser.recordDispatch(
      replicaId(programIndex % replicaCount),
      createPrefixChain(programIndex),
      0,
    );
  }
  const retainedBytes = measureHeapBytes() - heapBefore;
  const requests = Array.from({ length: OPERATION_COUNT }, (_, index) =>
    createRequest(index % programCount),
  );
  const cost = measureOperation(OPERATION_COUNT, index => {
    const request = requests[index % requests.length];
    if (request !== undefined) {
      chooser.choose(request, index, () => true);
    }
  });
  const retainedBytesPerUnit = dimension === 'programs' ? retainedBytes / size : undefined;
  return { cost, dimension, retainedBytesPerUnit, operation: 'replica choice', size };
}

function createChooser(replicaCount: number, programCount: number): CostReplicaChooser {
  let seed = 1;
  const chooser = new CostReplicaChooser({
    batchDelayMillisecondsPerToken: 0.06,
    callMilliseconds: 4_000,
    maximumPrefixes: programCount * PREFIXES_PER_PROGRAM,
    prefillMillisecondsPerToken: 0.17,
    random: () => (seed = (seed * 16_807) % 2_147_483_647) / 2_147_483_647,
    sharingMilliseconds: 50,
    slotsPerReplica: 16,
    zone: zoneOf(0),
    zoneMilliseconds: 2,
  });
  chooser.update(
    Array.from({ length: replicaCount }, (_, index) => ({
      id: replicaId(index),
      zone: zoneOf(index),
    })),
  );
  return chooser;
}

function replicaId(index: number): UpstreamId {
  return `replica-${index}` as UpstreamId;
}

function zoneOf(index: number): AvailabilityZone {
  return `zone-${index % ZONE_COUNT}` as AvailabilityZone;
}

function createPrefixChain(programIndex: number): readonly PromptPrefix[] {
  return Array.from({ length: PREFIXES_PER_PROGRAM }, (_, position) => ({
    digest: `program-${programIndex}/${position}` as PrefixDigest,
    tokens: (position + 1) * TOKENS_PER_PREFIX,
  }));
}

function createRequest(programIndex: number): PlacementRequest {
  return {
    excluded: new Set(),
    prefixes: createPrefixChain(programIndex),
    promptTokens: (PREFIXES_PER_PROGRAM + 1) * TOKENS_PER_PREFIX,
  };
}
