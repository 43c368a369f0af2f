import type { AvailabilityZone, Epoch, ProgramId, Result, UpstreamId } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';

import { discardingMetrics, Err, ManualTimerService, Ok, silentLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { EngineOrders, OrderOutcome, ReleaseOrder } from '../../src/upstreams/engineOrders.js';
import type { GoneProgram } from '../../src/upstreams/engineSweeper.js';
import type { Replica } from '../../src/upstreams/replicaTable.js';

import { EngineMemory } from '../../src/upstreams/engineMemory.js';
import { EngineSweeper } from '../../src/upstreams/engineSweeper.js';
import { ReplicaTable } from '../../src/upstreams/replicaTable.js';

const RETRY_MILLISECONDS = 1_000;
const program = 'program-1' as ProgramId;
const engine = 'engine-1' as UpstreamId;

/** An engine that holds memory for programs and may lose orders or be down. */
class FakeEngines implements EngineOrders {
  public readonly held = new Map<UpstreamId, Set<ProgramId>>();
  public readonly highestFence = new Map<ProgramId, Epoch>();
  public lostOrders = 0;
  public lostConfirmations = 0;
  public isDown = false;
  public checksFencing = true;

  public hold(upstream: UpstreamId, ...programs: readonly ProgramId[]): void {
    this.held.set(upstream, new Set(programs));
  }

  public async release(
    replica: Replica,
    order: ReleaseOrder,
  ): Promise<Result<OrderOutcome, Error>> {
    if (this.isDown || this.lostOrders-- > 0) {
      return await Promise.resolve(Err(new Error('no answer')));
    }
    const highest = this.highestFence.get(order.program) ?? (0 as Epoch);
    if (this.checksFencing && order.fence < highest) {
      return Ok('fenced');
    }
    this.held.get(replica.id)?.delete(order.program);
    return this.lostConfirmations-- > 0 ? Err(new Error('no answer')) : Ok('done');
  }

  public async listHeld(replica: Replica): Promise<Result<readonly ProgramId[], Error>> {
    const held = [...(this.held.get(replica.id) ?? [])];
    return await Promise.resolve(this.isDown ? Err(new Error('down')) : Ok(held));
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

function setUp(maximumPending = 100) {
  const timers = new ManualTimerService();
  const engines = new FakeEngines();
  const replicas = new ReplicaTable();
  replicas.update(listEngines('engine-1', 'engine-2'));
  const memory = new EngineMemory({
    logger: silentLogger,
    maximumPending,
    metrics: discardingMetrics,
    orders: engines,
    replicas,
    retryMilliseconds: RETRY_MILLISECONDS,
    timers,
  });
  memory.start();
  return { engines, memory, replicas, timers };
}

describe(EngineMemory, () => {
  it.each([
    { fault: 'no fault', prepare: () => undefined },
    { fault: 'a lost order', prepare: (fake: FakeEngines) => (fake.lostOrders = 1) },
    { fault: 'a lost confirmation', prepare: (fake: FakeEngines) => (fake.lostConfirmations = 1) },
    { fault: 'orders lost twice', prepare: (fake: FakeEngines) => (fake.lostOrders = 2) },
  ])('releases what every engine holds under $fault', async ({ prepare }) => {
    const { engines, memory, timers } = setUp();
    engines.hold(engine, program);
    prepare(engines);
    memory.noteUse(program, engine);
    await memory.releaseProgram(program, 3 as Epoch);
    await timers.advance(3 * RETRY_MILLISECONDS);
    expect(engines.held.get(engine)).toEqual(new Set());
    expect(memory.pendingOrders).toBe(0);
  });

  it('repeats an order for as long as the engine is down', async () => {
    const { engines, memory, timers } = setUp();
    engines.hold(engine, program);
    engines.isDown = true;
    memory.noteUse(program, engine);
    await memory.releaseProgram(program, 3 as Epoch);
    await timers.advance(600_000);
    expect(memory.pendingOrders).toBe(1);
    engines.isDown = false;
    await timers.advance(RETRY_MILLISECONDS);
    expect(engines.held.get(engine)).toEqual(new Set());
    expect(memory.pendingOrders).toBe(0);
  });

  it('gives up an order that a newer holder has overtaken', async () => {
    const { engines, memory } = setUp();
    engines.hold(engine, program);
    engines.highestFence.set(program, 4 as Epoch);
    memory.noteUse(program, engine);
    await memory.releaseProgram(program, 3 as Epoch);
    expect(engines.held.get(engine)).toEqual(new Set([program]));
    expect(memory.pendingOrders).toBe(0);
  });

  it('gives up an order to an engine that has left the list', async () => {
    const { engines, memory, replicas, timers } = setUp();
    engines.isDown = true;
    memory.noteUse(program, engine);
    await memory.releaseProgram(program, 3 as Epoch);
    replicas.update(listEngines('engine-2'));
    await timers.advance(RETRY_MILLISECONDS);
    expect(memory.pendingOrders).toBe(0);
  });

  it('keeps at most the limit of orders', async () => {
    const { engines, memory } = setUp(2);
    engines.isDown = true;
    for (const name of ['a', 'b', 'c', 'd']) {
      memory.noteUse(name as ProgramId, engine);
      await memory.releaseProgram(name as ProgramId, 1 as Epoch);
    }
    expect(memory.pendingOrders).toBe(2);
  });
});

describe(EngineSweeper, () => {
  function sweeperFor(
    parts: ReturnType<typeof setUp>,
    gone: readonly GoneProgram[],
    isResponsible: (replica: Replica) => boolean = () => true,
  ): EngineSweeper {
    return new EngineSweeper({
      census: {
        findGone: async programs =>
          Promise.resolve(gone.filter(each => programs.includes(each.program))),
      },
      intervalMilliseconds: 30_000,
      isEngine: () => true,
      isResponsible,
      logger: silentLogger,
      memory: parts.memory,
      orders: parts.engines,
      replicas: parts.replicas,
      timers: parts.timers,
    });
  }

  it('releases what a dead home left behind and nothing else', async () => {
    const parts = setUp();
    const alive = 'program-2' as ProgramId;
    parts.engines.hold(engine, program, alive);
    sweeperFor(parts, [{ fence: 7 as Epoch, program }]).start();
    await parts.timers.advance(30_000);
    expect(parts.engines.held.get(engine)).toEqual(new Set([alive]));
  });

  it('sweeps again what it could not release', async () => {
    const parts = setUp();
    parts.engines.hold(engine, program);
    parts.engines.isDown = true;
    sweeperFor(parts, [{ fence: 7 as Epoch, program }]).start();
    await parts.timers.advance(60_000);
    parts.engines.isDown = false;
    await parts.timers.advance(30_000 + RETRY_MILLISECONDS);
    expect(parts.engines.held.get(engine)).toEqual(new Set());
  });

  it('leaves engines alone that another instance sweeps', async () => {
    const parts = setUp();
    parts.engines.hold(engine, program);
    sweeperFor(parts, [{ fence: 7 as Epoch, program }], () => false).start();
    await parts.timers.advance(90_000);
    expect(parts.engines.held.get(engine)).toEqual(new Set([program]));
  });
});
