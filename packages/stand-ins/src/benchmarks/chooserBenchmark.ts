import type { AvailabilityZone, UpstreamId } from '@zincring/core';
import type { PlacementRequest, PrefixDigest, PromptPrefix } from '@zincring/scheduling';

import { CostReplicaChooser } from '@zincring/scheduling';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { heapInUse, measureOperation } from './measureOperation.js';

const REPLICA_SIZES = [12, 120, 1_200, 12_000];
const PROGRAM_SIZES = [1_850, 18_500, 185_000];
const REPLICAS_WITH_MANY_PROGRAMS = 1_200;
const PROGRAMS_WITH_MANY_REPLICAS = 1_850;
/** Prefixes of a program of six turns: prompt and answer each. */
const PREFIXES_PER_PROGRAM = 12;
const TOKENS_PER_PREFIX = 1_000;
const OPERATIONS = 20_000;
const ZONES = 12;

/** Choices of a replica, with a record of prefixes for every program. */
export class ChooserBenchmark implements Benchmark {
  public run(): readonly BenchmarkResult[] {
    return [
      ...REPLICA_SIZES.map(size =>
        measureChooser('replicas', size, PROGRAMS_WITH_MANY_REPLICAS, size),
      ),
      ...PROGRAM_SIZES.map(size =>
        measureChooser('programs', REPLICAS_WITH_MANY_PROGRAMS, size, size),
      ),
    ];
  }
}

function measureChooser(
  dimension: string,
  replicas: number,
  programs: number,
  size: number,
): BenchmarkResult {
  const heapBefore = heapInUse();
  const chooser = createChooser(replicas, programs);
  for (let program = 0; program < programs; program++) {
    chooser.recordDispatch(replicaId(program % replicas), chainOf(program), 0);
  }
  const keptBytes = heapInUse() - heapBefore;
  const requests = Array.from({ length: OPERATIONS }, (_, index) => requestOf(index % programs));
  const cost = measureOperation(OPERATIONS, index => {
    const request = requests[index % requests.length];
    if (request !== undefined) {
      chooser.choose(request, index, () => true);
    }
  });
  const keptBytesPerUnit = dimension === 'programs' ? keptBytes / size : undefined;
  return { cost, dimension, keptBytesPerUnit, operation: 'replica choice', size };
}

function createChooser(replicas: number, programs: number): CostReplicaChooser {
  let seed = 1;
  const chooser = new CostReplicaChooser({
    batchDelayMillisecondsPerToken: 0.06,
    callMilliseconds: 4_000,
    maxPrefixes: programs * PREFIXES_PER_PROGRAM,
    prefillMillisecondsPerToken: 0.17,
    random: () => (seed = (seed * 16_807) % 2_147_483_647) / 2_147_483_647,
    sharingMilliseconds: 50,
    slotsPerReplica: 16,
    zone: zoneOf(0),
    zoneMilliseconds: 2,
  });
  chooser.update(
    Array.from({ length: replicas }, (_, index) => ({ id: replicaId(index), zone: zoneOf(index) })),
  );
  return chooser;
}

function replicaId(index: number): UpstreamId {
  return `replica-${index}` as UpstreamId;
}

function zoneOf(index: number): AvailabilityZone {
  return `zone-${index % ZONES}` as AvailabilityZone;
}

function chainOf(program: number): readonly PromptPrefix[] {
  return Array.from({ length: PREFIXES_PER_PROGRAM }, (_, turn) => ({
    digest: `program-${program}/${turn}` as PrefixDigest,
    tokens: (turn + 1) * TOKENS_PER_PREFIX,
  }));
}

function requestOf(program: number): PlacementRequest {
  return {
    excluded: new Set(),
    prefixes: chainOf(program),
    promptTokens: (PREFIXES_PER_PROGRAM + 1) * TOKENS_PER_PREFIX,
  };
}
