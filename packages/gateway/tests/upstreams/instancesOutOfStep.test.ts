import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { RequestId } from '../../src/callers/requestFacts.js';
import type { RunnableRequest } from '../../src/upstreams/attemptLoop.js';
import type { ReplicaEntry, SoftwareVersion } from '../../src/upstreams/replica.js';
import type { StoreFaults } from '../support/memoryTable.js';

import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { ReplicaDirectory } from '../../src/upstreams/replicaDirectory.js';
import { StreamOrigins, sweptStreams } from '../../src/upstreams/streamOrigins.js';
import { VersionHistory } from '../../src/upstreams/versionHistory.js';
import { VersionRecord } from '../../src/upstreams/versionRecord.js';
import { MemoryTable } from '../support/memoryTable.js';
import { advanceAll, PausableProcess } from '../support/pausableProcess.js';
import {
  replicaTable,
  sampleReplica,
  sampleReplicaSource,
  sampleRoute,
  sampleTurn,
} from '../support/samples.js';

const resumableRoute = sampleRoute({ isResumable: true });

/** An instance with its own list of replicas, as far as the versions of streams are concerned. */
interface TestInstance {
  readonly faults: StoreFaults;
  readonly origins: StreamOrigins;
  readonly process: PausableProcess;
}

function makeReplica(version: string): ReplicaEntry {
  return sampleReplica(`of-${version}`, { softwareVersion: version as SoftwareVersion });
}

describe('streams while one instance is out of step', () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let processes: PausableProcess[];

  beforeEach(() => {
    processes = [];
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
  });

  function startInstance(): TestInstance {
    const faults = { ...store.faults };
    const process = new PausableProcess();
    const { timers: clock } = process;
    processes.push(process);
    const table = new MonitoredTable(process.wrap(store.client(faults)), clock);
    const directory = new ReplicaDirectory(
      table.essential,
      sampleReplicaSource,
      clock,
      silentLogger,
      {
        minimumOutageMilliseconds: 2_500,
        pauseMilliseconds: 100,
        registrationGraceMilliseconds: 1_900,
        waitMilliseconds: 1_000,
      },
    );
    const versions = new VersionHistory(directory, clock);
    const common = { logger: silentLogger, table, timers: clock, versions };
    const versionRecord = new VersionRecord({ ...common, random: () => 0.5 });
    directory.start();
    versionRecord.start();
    return { faults, origins: new StreamOrigins({ ...common, versionRecord }), process };
  }

  async function advance(milliseconds: number): Promise<void> {
    await advanceAll(timers, processes, milliseconds);
  }

  function serve(...versions: readonly string[]): void {
    for (const version of ['v1', 'v2']) {
      const address = { key: `of-${version}`, partition: '', table: replicaTable };
      if (versions.includes(version)) {
        store.put(address, makeReplica(version));
      } else {
        store.remove(address);
      }
    }
  }

  /** Starts two instances that see v1 alone for a minute. */
  async function startInstances(): Promise<{ inStep: TestInstance; outOfStep: TestInstance }> {
    serve('v1');
    const instances = { inStep: startInstance(), outOfStep: startInstance() };
    await advance(60_000);
    return instances;
  }

  /** Begins a stream and returns whether its first event may be forwarded. */
  async function begin({ origins, process }: TestInstance, version: string): Promise<boolean> {
    const request = sampleTurn('first', {}, { route: resumableRoute });
    const pending = origins.record(
      { ...request, deadline: process.timers.now() + 3_000 },
      makeReplica(version),
    );
    await advance(320);
    return await pending;
  }

  async function resolve({ origins }: TestInstance, request: RunnableRequest): Promise<unknown> {
    const pending = origins.resolve(request);
    await advance(450);
    const version = await pending;
    return version.ok ? version.val : version.val.kind;
  }

  async function takeUp(instance: TestInstance, resumedRequest?: string): Promise<unknown> {
    const facts = { lastEventId: '2', resumedRequest: resumedRequest as RequestId | undefined };
    return await resolve(instance, sampleTurn('second', facts, { route: resumableRoute }));
  }

  function loseRow(): void {
    for (const partition of sweptStreams.partitions) {
      store.remove({ key: 'first', partition, table: sweptStreams.table });
    }
  }

  it.each(['isRefusing', 'isSilent'] as const)(
    'refuses a stream whose row it cannot read, although its list was confirmed of late: the store %s',
    async fault => {
      const { inStep, outOfStep } = await startInstances();
      outOfStep.faults[fault] = true;
      serve('v1', 'v2');
      await advance(300);
      expect(await begin(inStep, 'v2')).toBe(true);
      expect(await takeUp(outOfStep, 'first')).toBe('store-unavailable');
    },
  );

  it('goes on at the version of the row that its list does not hold', async () => {
    const { inStep, outOfStep } = await startInstances();
    outOfStep.faults.feedsMissChanges = true;
    serve('v1', 'v2');
    await advance(1_000);
    expect(await begin(inStep, 'v2')).toBe(true);
    expect(await takeUp(outOfStep, 'first')).toBe('v2');
  });

  it.each([100, 1_000, 5_000])(
    'refuses a stream without a name while it misses the changes of the last %d ms',
    async milliseconds => {
      const { inStep, outOfStep } = await startInstances();
      outOfStep.faults.feedsMissChanges = true;
      serve('v1', 'v2');
      await advance(milliseconds);
      expect(await begin(inStep, 'v2')).toBe(true);
      expect(await takeUp(outOfStep)).toBe('upstream-unavailable');
    },
  );

  it('refuses a stream without a row that began after a change that it missed', async () => {
    const { inStep, outOfStep } = await startInstances();
    outOfStep.faults.feedsMissChanges = true;
    serve('v2');
    await advance(2_000);
    inStep.faults.isRefusing = true;
    await begin(inStep, 'v2');
    await begin(inStep, 'v2');
    expect(await begin(inStep, 'v2')).toBe(true);
    expect(await takeUp(outOfStep, 'first')).toBe('upstream-unavailable');
  });

  describe.each([
    ['frozen', false],
    ['suspended with its monotonic clock', true],
  ])('after it was %s', (_name, isSuspended) => {
    it('refuses a stream whose row was lost', async () => {
      const { inStep, outOfStep } = await startInstances();
      outOfStep.process.pause();
      serve('v1', 'v2');
      await advance(5_000);
      outOfStep.process.continue(isSuspended);
      await advance(4_000);
      expect(await begin(inStep, 'v2')).toBe(true);
      loseRow();
      expect(await takeUp(outOfStep, 'first')).toBe('upstream-unavailable');
    });

    it('begins no stream that others mistake, as another version was alone meanwhile', async () => {
      const { inStep, outOfStep } = await startInstances();
      outOfStep.process.pause();
      serve('v2');
      await advance(4_000);
      serve('v1', 'v2');
      await advance(5_000);
      outOfStep.process.continue(isSuspended);
      await advance(120);
      serve('v1', 'v2');
      await advance(60);
      outOfStep.faults.isRefusing = true;
      const hasBegun = await begin(outOfStep, 'v1');
      expect([hasBegun, await takeUp(inStep, 'first')]).not.toEqual([true, 'v2']);
    });
  });

  it('begins no stream at a version that may have left longer ago than others look back', async () => {
    const { inStep, outOfStep } = await startInstances();
    outOfStep.faults.isRefusing = true;
    serve('v2');
    await advance(9_000);
    const hasBegun = await begin(outOfStep, 'v1');
    expect([hasBegun, await takeUp(inStep, 'first')]).toEqual([false, 'v2']);
    const next = sampleTurn('next', {}, { route: resumableRoute });
    expect(await resolve(outOfStep, next)).toBe('store-unavailable');
  });

  it('begins streams while the store has been away for a moment', async () => {
    const { outOfStep } = await startInstances();
    outOfStep.faults.isRefusing = true;
    await advance(1_500);
    expect(await begin(outOfStep, 'v1')).toBe(true);
  });
});
