import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { RequestId } from '../../src/callers/requestFacts.js';
import type { ReplicaEntry, SoftwareVersion } from '../../src/upstreams/replica.js';
import type { RunnableRequest } from '../../src/upstreams/attemptLoop.js';

import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { StreamOrigins, sweptStreams } from '../../src/upstreams/streamOrigins.js';
import { VersionHistory } from '../../src/upstreams/versionHistory.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleReplica, sampleRoute, sampleTurn } from '../support/samples.js';

const resumableRoute = sampleRoute({ isResumable: true });

function makeReplica(version: string): ReplicaEntry {
  return sampleReplica(`of-${version}`, { softwareVersion: version as SoftwareVersion });
}

function makeStream(id: string): RunnableRequest {
  return sampleTurn(id, {}, { route: resumableRoute });
}

function makeResumption(resumedRequest: string): RunnableRequest {
  const facts = { lastEventId: '2', resumedRequest: resumedRequest as RequestId };
  return sampleTurn('second', facts, { route: resumableRoute });
}

describe(StreamOrigins, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
  });

  /** Makes an instance that sees replicas of the given versions. */
  function makeInstance(versions: readonly string[]): StreamOrigins {
    const source = {
      ageMilliseconds: () => 0,
      listAll: () => versions.map(makeReplica),
      subscribe: () => undefined,
    };
    return new StreamOrigins({
      logger: silentLogger,
      table: new MonitoredTable(store.client(), timers),
      timers,
      versions: new VersionHistory(source, timers),
    });
  }

  async function resolve(origins: StreamOrigins, request: RunnableRequest): Promise<unknown> {
    const pending = origins.resolve(request);
    await timers.advance(1_000);
    const version = await pending;
    return version.ok ? version.val : version.val.kind;
  }

  it('finds at another instance at which version a stream began', async () => {
    makeInstance(['v1', 'v2']).record(makeStream('first'), makeReplica('v2'));
    await timers.advance(100);
    expect(await resolve(makeInstance(['v1', 'v2']), makeResumption('first'))).toBe('v2');
  });

  it('keeps the version that began a stream when it is recorded again', async () => {
    const origins = makeInstance(['v1', 'v2']);
    origins.record(makeStream('first'), makeReplica('v2'));
    await timers.advance(100);
    origins.record(makeStream('first'), makeReplica('v1'));
    await timers.advance(100);
    expect(await resolve(origins, makeResumption('first'))).toBe('v2');
  });

  it.each([
    ['while a single version serves', ['v1'], makeStream('first')],
    ['of a route whose streams cannot be taken up', ['v1', 'v2'], sampleTurn('first')],
  ])('records no stream %s', async (_name, versions, request) => {
    makeInstance(versions).record(request, makeReplica('v1'));
    await timers.advance(100);
    expect(store.calls).toBe(0);
  });

  it('reads nothing for a request that takes up no stream', async () => {
    expect(await resolve(makeInstance(['v1', 'v2']), makeStream('first'))).toBeUndefined();
    expect(store.calls).toBe(0);
  });

  it.each([
    ['several versions serve', ['v1', 'v2'], 'store-unavailable'],
    ['it has just seen its only version', ['v1'], 'store-unavailable'],
  ])('is not certain while the store refuses and %s', async (_name, versions, expected) => {
    const origins = makeInstance(versions);
    store.faults.isRefusing = true;
    expect(await resolve(origins, makeResumption('first'))).toBe(expected);
  });

  it('lets its rows be removed after the time in which a stream can be taken up', async () => {
    makeInstance(['v1', 'v2']).record(makeStream('first'), makeReplica('v1'));
    await timers.advance(100);
    const rows = sweptStreams.partitions
      .map(partition => store.get({ key: 'first', partition, table: sweptStreams.table }))
      .filter(row => row !== undefined);
    expect(rows.map(row => sweptStreams.expiresAt(row))).toEqual([
      timers.wallClock() - 100 + 2 * resumableRoute.timeoutMilliseconds,
    ]);
  });
});
