import type { AvailabilityZone } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { ReplicaEntry } from '../../src/upstreams/replica.js';
import type { PromptPart, RequestFacts, SessionId } from '../../src/callers/requestFacts.js';

import { GatewayMetrics } from '../../src/observation/gatewayMetrics.js';
import { ReplicaCosts } from '../../src/upstreams/load/replicaCosts.js';
import { ReplicaDirectory } from '../../src/upstreams/replicaDirectory.js';
import { ReplicaLoads } from '../../src/upstreams/replicaLoads.js';
import { ReplicaPool } from '../../src/upstreams/replicaPool.js';
import { MemoryTable } from '../support/memoryTable.js';
import {
  engineService,
  replicaTable,
  sampleFacts,
  sampleReplica,
  sampleReplicaSource,
} from '../support/samples.js';

const REPLICAS = 44;

function makeFacts(session: string, ...parts: readonly string[]): RequestFacts {
  return sampleFacts({
    promptParts: ['shared', ...parts].map(id => ({ id: id as PromptPart['id'], tokens: 5_000 })),
    sessionId: session as SessionId,
  });
}

describe(ReplicaPool, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let evacuatedZone: string | undefined;

  beforeEach(() => {
    evacuatedZone = undefined;
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    for (let index = 0; index < REPLICAS; index++) {
      const entry = sampleReplica(`r${String(index)}`);
      store.put({ key: entry.id, partition: '', table: replicaTable }, entry);
    }
  });

  async function makePool(): Promise<ReplicaPool> {
    const directory = new ReplicaDirectory(
      store.client(),
      sampleReplicaSource,
      timers,
      silentLogger,
      {
        minimumOutageMilliseconds: 2_500,
        pauseMilliseconds: 500,
        registrationGraceMilliseconds: 1_900,
        waitMilliseconds: 1_000,
      },
    );
    directory.start();
    await timers.advance(100);
    const loads = new ReplicaLoads(timers, () => 16);
    return new ReplicaPool({
      areEnginesContended: () => false,
      availabilityZone: 'nelson' as AvailabilityZone,
      costs: new ReplicaCosts({ logger: silentLogger, metrics: new GatewayMetrics(), timers }),
      directory,
      isPermitted: zone => zone !== evacuatedZone,
      loads,
      random: () => 0.5,
      timers,
    });
  }

  function choose(pool: ReplicaPool, facts: RequestFacts): string | undefined {
    return pool.choose({
      excluded: new Set(),
      facts,
      isSticky: true,
      service: engineService,
      softwareVersion: undefined,
    })?.id;
  }

  // Guards against one client whose requests take all connections to the replicas.
  it('leaves the last connections of a replica to requests that were not sent ahead', async () => {
    const pool = await makePool();
    const request = {
      excluded: new Set<ReplicaEntry['runId']>(),
      facts: sampleFacts(),
      isSticky: false,
      service: engineService,
      softwareVersion: undefined,
    };
    for (let index = 0; index < REPLICAS; index++) {
      pool.loads.findOrAddState(sampleReplica(`r${String(index)}`)).inFlight = 12;
    }
    expect(pool.choose({ ...request, isSentAhead: true })).toBe(undefined);
    expect(pool.choose(request)).toBeDefined();
  });

  it('sends sub-agents to the engine that has the prompt of their parent, at every instance', async () => {
    const [pool, other] = [await makePool(), await makePool()];
    for (let program = 0; program < 20; program++) {
      const parent = `own-${String(program)}`;
      const home = choose(pool, makeFacts(`main-${String(program)}`, parent));
      const subAgent = makeFacts(`sub-${String(program)}`, parent, `sub-part-${String(program)}`);
      expect(choose(pool, subAgent)).toBe(home);
      expect(choose(other, subAgent)).toBe(home);
    }
  });

  it('follows a conversation to the engine that ran its last turn, and no sub-agent away from it', async () => {
    const pool = await makePool();
    const main = makeFacts('main', 'own');
    const subAgent = makeFacts('sub', 'own', 'sub-part');
    const home = choose(pool, main);
    const elsewhere = sampleReplica(home === 'r3' ? 'r4' : 'r3');
    pool.recordReplica(main, elsewhere);
    expect(choose(pool, main)).toBe(elsewhere.id);
    expect(choose(pool, subAgent)).toBe(elsewhere.id);
    pool.recordReplica(subAgent, sampleReplica('r9'));
    expect(choose(pool, main)).toBe(elsewhere.id);
  });

  it('sends the next turn of a conversation elsewhere while the zone of its engine is evacuated', async () => {
    const kaslo = 'kaslo' as AvailabilityZone;
    const other = sampleReplica('r3', { availabilityZone: kaslo });
    store.put({ key: other.id, partition: '', table: replicaTable }, other);
    const pool = await makePool();
    const main = makeFacts('main', 'own');
    pool.recordReplica(main, other);
    expect(choose(pool, main)).toBe(other.id);
    evacuatedZone = kaslo;
    expect(choose(pool, main)).not.toBe(other.id);
    evacuatedZone = undefined;
    expect(choose(pool, main)).toBe(other.id);
  });

  it('spreads conversations with the same shared prompt over all engines', async () => {
    const pool = await makePool();
    const counts = new Map<string | undefined, number>();
    for (let program = 0; program < 40 * REPLICAS; program++) {
      const id = choose(pool, makeFacts(`main-${String(program)}`, `own-${String(program)}`));
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect(counts.size).toBe(REPLICAS);
    expect(Math.max(...counts.values())).toBeLessThan(2 * 40);
  });
});
