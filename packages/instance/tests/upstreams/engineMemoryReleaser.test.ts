import type { AvailabilityZone, Epoch, ProgramId, Result, UpstreamId } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';

import { discardingMetrics, Err, ManualTimerService, Ok, silentLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type {
  EngineControlClient,
  ReleaseOutcome,
  ReleaseRequest,
} from '../../src/upstreams/engineControlClient.js';
import type { GoneProgram } from '../../src/upstreams/engineSweeper.js';
import type { Replica } from '../../src/upstreams/replicaTable.js';

import { EngineMemoryReleaser } from '../../src/upstreams/engineMemoryReleaser.js';
import { EngineSweeper } from '../../src/upstreams/engineSweeper.js';
import { ReplicaTable } from '../../src/upstreams/replicaTable.js';

const RETRY_MILLISECONDS = 1_000;
const program = 'program-1' as ProgramId;
const engine = 'engine-1' as UpstreamId;

/** Engines that hold memory for programs; they may lose requests or responses, or be down. */
class FakeEngines implements EngineControlClient {
  public readonly heldPrograms = new Map<UpstreamId, Set<ProgramId>>();
  public readonly highestFencingTokens = new Map<ProgramId, Epoch>();
  public lostRequests = 0;
  public lostConfirmations = 0;
  public isDown = false;
  public checksFencing = true;

  public setHeldPrograms(upstream: UpstreamId, ...programs: readonly ProgramId[]): void {
    this.heldPrograms.set(upstream, new Set(programs));
  }

  public async release(
    replica: Replica,
    request: ReleaseRequest,
  ): Promise<Result<ReleaseOutcome, Error>> {
    if (this.isDown || this.lostRequests-- > 0) {
      return await Promise.resolve(Err(new Error('no response')));
    }
    const highest = this.highestFencingTokens.get(request.program) ?? (0 as Epoch);
    if (this.checksFencing && request.fence < highest) {
      return Ok('fenced');
    }
    this.heldPrograms.get(replica.id)?.delete(request.program);
    return this.lostConfirmations-- > 0 ? Err(new Error('no response')) : Ok('done');
  }

  public async listHeldPrograms(replica: Replica): Promise<Result<readonly ProgramId[], Error>> {
    const heldPrograms = [...(this.heldPrograms.get(replica.id) ?? [])];
    return await Promise.resolve(this.isDown ? Err(new Error('down')) : Ok(heldPrograms));
  }

  public async readLoad(): Promise<Result<never, Error>> {
    return await Promise.resolve(Err(new Error('not used')));
  }

  public async readCacheEvents(): Promise<Result<never, Error>> {
    return await Promise.resolve(Err(new Error('not used')));
  }
}

function listEngines(...ids: readonly string[]): readonly DirectoryEntry[] {
  return ids.map(id => ({
    address: '127.0.0.1:1',
    id,
    role: { kind: 'upstream', service: 'minutes-llm' as never },
    state: 'live',
    zone: 'nelson' as AvailabilityZone,
  }));
}

function setUp(maximumPendingReleases = 100) {
  const timers = new ManualTimerService();
  const engines = new FakeEngines();
  const replicas = new ReplicaTable();
  replicas.update(listEngines('engine-1', 'engine-2'));
  const memoryReleaser = new EngineMemoryReleaser({
    logger: silentLogger,
    maximumPendingReleases,
    metrics: discardingMetrics,
    engineControl: engines,
    replicas,
    retryMilliseconds: RETRY_MILLISECONDS,
    timers,
  });
  memoryReleaser.start();
  return { engines, memoryReleaser, replicas, timers };
}

describe(EngineMemoryReleaser, () => {
  it.each([
    { fault: 'no fault', prepare: () => undefined },
    { fault: 'a lost request', prepare: (fake: FakeEngines) => (fake.lostRequests = 1) },
    { fault: 'a lost confirmation', prepare: (fake: FakeEngines) => (fake.lostConfirmations = 1) },
    { fault: 'two lost requests', prepare: (fake: FakeEngines) => (fake.lostRequests = 2) },
  ])('releases the memory of a program with $fault', async ({ prepare }) => {
    const { engines, memoryReleaser, timers } = setUp();
    engines.setHeldPrograms(engine, program);
    prepare(engines);
    memoryReleaser.recordUse(program, engine);
    await memoryReleaser.releaseProgram(program, 3 as Epoch);
    await timers.advance(3 * RETRY_MILLISECONDS);
    expect(engines.heldPrograms.get(engine)).toEqual(new Set());
    expect(memoryReleaser.pendingCount).toBe(0);
  });

  it('retries a release as long as the engine is down', async () => {
    const { engines, memoryReleaser, timers } = setUp();
    engines.setHeldPrograms(engine, program);
    engines.isDown = true;
    memoryReleaser.recordUse(program, engine);
    await memoryReleaser.releaseProgram(program, 3 as Epoch);
    await timers.advance(600_000);
    expect(memoryReleaser.pendingCount).toBe(1);
    engines.isDown = false;
    await timers.advance(RETRY_MILLISECONDS);
    expect(engines.heldPrograms.get(engine)).toEqual(new Set());
    expect(memoryReleaser.pendingCount).toBe(0);
  });

  it('drops a release whose fencing token the engine rejects as outdated', async () => {
    const { engines, memoryReleaser } = setUp();
    engines.setHeldPrograms(engine, program);
    engines.highestFencingTokens.set(program, 4 as Epoch);
    memoryReleaser.recordUse(program, engine);
    await memoryReleaser.releaseProgram(program, 3 as Epoch);
    expect(engines.heldPrograms.get(engine)).toEqual(new Set([program]));
    expect(memoryReleaser.pendingCount).toBe(0);
  });

  it('drops a release of an engine that was removed from the directory', async () => {
    const { engines, memoryReleaser, replicas, timers } = setUp();
    engines.isDown = true;
    memoryReleaser.recordUse(program, engine);
    await memoryReleaser.releaseProgram(program, 3 as Epoch);
    replicas.update(listEngines('engine-2'));
    await timers.advance(RETRY_MILLISECONDS);
    expect(memoryReleaser.pendingCount).toBe(0);
  });

  it('keeps at most the maximum number of pending releases', async () => {
    const { engines, memoryReleaser } = setUp(2);
    engines.isDown = true;
    for (const name of ['a', 'b', 'c', 'd']) {
      memoryReleaser.recordUse(name as ProgramId, engine);
      await memoryReleaser.releaseProgram(name as ProgramId, 1 as Epoch);
    }
    expect(memoryReleaser.pendingCount).toBe(2);
  });
});

describe(EngineSweeper, () => {
  function createSweeper(
    fixture: ReturnType<typeof setUp>,
    gonePrograms: readonly GoneProgram[],
    isResponsible: (replica: Replica) => boolean = () => true,
  ): EngineSweeper {
    return new EngineSweeper({
      goneProgramFinder: {
        findGone: async programs =>
          Promise.resolve(gonePrograms.filter(each => programs.includes(each.program))),
      },
      intervalMilliseconds: 30_000,
      isEngine: () => true,
      isResponsible,
      logger: silentLogger,
      memoryReleaser: fixture.memoryReleaser,
      engineControl: fixture.engines,
      replicas: fixture.replicas,
      timers: fixture.timers,
    });
  }

  it('releases only the memory of programs that no longer exist, without a release from their home', async () => {
    const fixture = setUp();
    const liveProgram = 'program-2' as ProgramId;
    fixture.engines.setHeldPrograms(engine, program, liveProgram);
    createSweeper(fixture, [{ fence: 7 as Epoch, program }]).start();
    await fixture.timers.advance(30_000);
    expect(fixture.engines.heldPrograms.get(engine)).toEqual(new Set([liveProgram]));
  });

  it('sweeps an engine again once it is no longer down', async () => {
    const fixture = setUp();
    fixture.engines.setHeldPrograms(engine, program);
    fixture.engines.isDown = true;
    createSweeper(fixture, [{ fence: 7 as Epoch, program }]).start();
    await fixture.timers.advance(60_000);
    fixture.engines.isDown = false;
    await fixture.timers.advance(30_000 + RETRY_MILLISECONDS);
    expect(fixture.engines.heldPrograms.get(engine)).toEqual(new Set());
  });

  it('does not sweep engines that another instance is responsible for', async () => {
    const fixture = setUp();
    fixture.engines.setHeldPrograms(engine, program);
    createSweeper(fixture, [{ fence: 7 as Epoch, program }], () => false).start();
    await fixture.timers.advance(90_000);
    expect(fixture.engines.heldPrograms.get(engine)).toEqual(new Set([program]));
  });
});
