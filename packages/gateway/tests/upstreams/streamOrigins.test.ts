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
  /** Age of the list of replicas at all instances. */
  let ageMilliseconds: number;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    ageMilliseconds = 0;
  });

  /** Makes an instance that sees replicas of the given versions; before, it saw the earlier ones for a minute. */
  async function makeInstance(
    versions: readonly string[],
    earlierVersions: readonly string[] = [],
  ): Promise<StreamOrigins> {
    let entries = (earlierVersions.length === 0 ? versions : earlierVersions).map(makeReplica);
    let notify = (): void => undefined;
    const source = {
      ageMilliseconds: () => ageMilliseconds,
      listAll: () => entries,
      subscribe: (listener: () => void) => {
        notify = listener;
      },
    };
    const history = new VersionHistory(source, timers);
    history.update();
    if (earlierVersions.length > 0) {
      await timers.advance(60_000);
      entries = versions.map(makeReplica);
      notify();
      history.update();
    }
    return new StreamOrigins({
      logger: silentLogger,
      table: new MonitoredTable(store.client(), timers),
      timers,
      versions: history,
    });
  }

  /** Records the first event of a stream and returns whether it may be forwarded. */
  async function record(
    origins: StreamOrigins,
    version: string,
    request = makeStream('first'),
  ): Promise<boolean> {
    const pending = origins.record(
      { ...request, deadline: timers.now() + 3_000 },
      makeReplica(version),
    );
    await timers.advance(400);
    return await pending;
  }

  async function resolve(origins: StreamOrigins, request: RunnableRequest): Promise<unknown> {
    const pending = origins.resolve(request);
    await timers.advance(1_000);
    const version = await pending;
    return version.ok ? version.val : version.val.kind;
  }

  it('finds at another instance at which version a stream began', async () => {
    await record(await makeInstance(['v1', 'v2']), 'v2');
    const other = await makeInstance(['v1', 'v2']);
    expect(await resolve(other, makeResumption('first'))).toBe('v2');
  });

  it('keeps the version that began a stream when it is recorded again', async () => {
    const origins = await makeInstance(['v1', 'v2']);
    expect(await record(origins, 'v2')).toBe(true);
    expect(await record(origins, 'v1')).toBe(false);
    expect(await resolve(origins, makeResumption('first'))).toBe('v2');
  });

  it.each([
    ['only the earlier version was alone', ['v1', 'v2'], ['v1'], false, 'v1'],
    [
      'both versions have served for long',
      ['v1', 'v2'],
      ['v1', 'v2'],
      true,
      'upstream-unavailable',
    ],
    ['it is not known what served before', ['v1', 'v2'], [], false, 'upstream-unavailable'],
    ['the version itself was alone', ['v1', 'v2'], ['v2'], true, 'v2'],
  ])(
    'never lets a stream begin whose version would be mistaken: the store refuses and %s',
    async (_name, versions, earlierVersions, mayBegin, assumedVersion) => {
      const origins = await makeInstance(versions, earlierVersions);
      store.faults.isRefusing = true;
      expect(await record(origins, 'v2')).toBe(mayBegin);
      store.faults.isRefusing = false;
      expect(await resolve(origins, makeResumption('first'))).toBe(assumedVersion);
    },
  );

  it('lets a stream begin when a write took effect whose answer was lost', async () => {
    const origins = await makeInstance(['v1', 'v2'], ['v1']);
    store.faults.losesAnswers = true;
    expect(await record(origins, 'v2')).toBe(false);
    store.faults.losesAnswers = false;
    expect(await record(origins, 'v2')).toBe(true);
  });

  it('prefers the version that is assumed without a record while the store is away', async () => {
    const origins = await makeInstance(['v1', 'v2'], ['v1']);
    expect(origins.findPreferredVersion(makeStream('first'))).toBeUndefined();
    store.faults.isRefusing = true;
    await record(origins, 'v2');
    await record(origins, 'v2');
    expect(origins.findPreferredVersion(makeStream('first'))).toBe('v1');
  });

  it('lets streams of that version begin although the list of replicas is out of date', async () => {
    const origins = await makeInstance(['v1', 'v2'], ['v1']);
    store.faults.isRefusing = true;
    await record(origins, 'v2');
    await record(origins, 'v2');
    ageMilliseconds = 3_000;
    expect(await record(origins, 'v1')).toBe(true);
    expect(await record(origins, 'v2')).toBe(false);
  });

  it.each([
    ['while a single version serves', ['v1'], makeStream('first')],
    ['of a route whose streams cannot be taken up', ['v1', 'v2'], sampleTurn('first')],
  ])('records no stream %s', async (_name, versions, request) => {
    expect(await record(await makeInstance(versions), 'v1', request)).toBe(true);
    expect(store.calls).toBe(0);
  });

  it('reads nothing for a request that takes up no stream', async () => {
    expect(await resolve(await makeInstance(['v1', 'v2']), makeStream('first'))).toBeUndefined();
    expect(store.calls).toBe(0);
  });

  it.each([
    ['several versions serve', ['v1', 'v2'], 'store-unavailable'],
    ['it has just seen its only version', ['v1'], 'store-unavailable'],
  ])('is not certain while the store refuses and %s', async (_name, versions, expected) => {
    const origins = await makeInstance(versions);
    store.faults.isRefusing = true;
    expect(await resolve(origins, makeResumption('first'))).toBe(expected);
  });

  it('lets its rows be removed after the time in which a stream can be taken up', async () => {
    await record(await makeInstance(['v1', 'v2']), 'v1');
    const rows = sweptStreams.partitions
      .map(partition => store.get({ key: 'first', partition, table: sweptStreams.table }))
      .filter(row => row !== undefined);
    expect(rows.map(row => sweptStreams.expiresAt(row))).toEqual([
      timers.wallClock() - 400 + 2 * resumableRoute.timeoutMilliseconds,
    ]);
  });
});
