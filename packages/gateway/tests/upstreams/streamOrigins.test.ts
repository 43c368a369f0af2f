import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { RequestId } from '../../src/callers/requestFacts.js';
import type { ReplicaEntry, SoftwareVersion } from '../../src/upstreams/replica.js';
import type { RunnableRequest } from '../../src/upstreams/attemptLoop.js';

import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { StreamOrigins, sweptStreams } from '../../src/upstreams/streamOrigins.js';
import { VersionHistory } from '../../src/upstreams/versionHistory.js';
import { VersionRecord } from '../../src/upstreams/versionRecord.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleReplica, sampleRoute, sampleTurn } from '../support/samples.js';

const resumableRoute = sampleRoute({ isResumable: true });

/** An instance as far as the versions of streams are concerned. */
interface TestInstance {
  readonly origins: StreamOrigins;
  /** Changes the versions whose replicas it sees. */
  readonly observe: (versions: readonly string[]) => void;
  readonly stop: () => void;
}

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

  /** Starts an instance that sees replicas of the given versions. */
  function startInstance(versions: readonly string[]): TestInstance {
    let entries = versions.map(makeReplica);
    let notify = (): void => undefined;
    const source = {
      ageMilliseconds: () => ageMilliseconds,
      interruptionCount: () => 0,
      listAll: () => entries,
      subscribe: (listener: () => void) => {
        notify = listener;
      },
    };
    const history = new VersionHistory(source, timers);
    const common = {
      logger: silentLogger,
      table: new MonitoredTable(store.client(), timers),
      timers,
      versions: history,
    };
    const versionRecord = new VersionRecord({ ...common, random: () => 0.5 });
    history.update();
    versionRecord.start();
    return {
      observe: later => {
        entries = later.map(makeReplica);
        notify();
        history.update();
      },
      origins: new StreamOrigins({ ...common, versionRecord }),
      stop: () => {
        versionRecord.stop();
      },
    };
  }

  /** Makes an instance that sees replicas of the given versions; before, it saw the earlier ones for a minute. */
  async function makeInstance(
    versions: readonly string[],
    earlierVersions: readonly string[] = [],
  ): Promise<StreamOrigins> {
    const { observe, origins } = startInstance(
      earlierVersions.length === 0 ? versions : earlierVersions,
    );
    if (earlierVersions.length > 0) {
      await timers.advance(60_000);
      observe(versions);
    }
    return origins;
  }

  it.each(['no JSON', 'null', '[]', '{"service":7,"version":{}}'])(
    'does not resume a stream whose row cannot be read: %s',
    async value => {
      const origins = await makeInstance(['v1', 'v2']);
      const { partitions, table } = sweptStreams;
      partitions.forEach(partition => {
        store.put({ key: 'first', partition, table }, value);
      });
      const pending = origins.resolve(makeResumption('first'));
      await timers.advance(400);
      expect((await pending).err).toBe(true);
    },
  );

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
    const origins = await makeInstance(versions, versions);
    const callsBefore = store.calls;
    expect(await record(origins, 'v1', request)).toBe(true);
    expect(store.calls).toBe(callsBefore);
  });

  it('reads nothing for a request that takes up no stream', async () => {
    const origins = await makeInstance(['v1', 'v2'], ['v1', 'v2']);
    const callsBefore = store.calls;
    expect(await resolve(origins, makeStream('first'))).toBeUndefined();
    expect(store.calls).toBe(callsBefore);
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

  describe('after all instances were killed at once', () => {
    /** Begins a stream at an instance that saw the given versions, one set after the other, and loses it with the instance. */
    async function beginAndKill(
      steps: readonly (readonly [versions: readonly string[], seconds: number])[],
      version: string,
    ): Promise<void> {
      const [[first], ...later] = steps as [[readonly string[], number]];
      const instance = startInstance(first);
      await timers.advance(60_000);
      for (const [versions, seconds] of later as typeof steps) {
        instance.observe(versions);
        await timers.advance(seconds * 1_000);
      }
      expect(await record(instance.origins, version)).toBe(true);
      instance.stop();
      await timers.advance(2_500);
    }

    it.each([
      ['the other version alone', [[['v1'], 60]], 'v1', ['v2'], 'upstream-unavailable'],
      ['a second version too', [[['v1'], 60]], 'v1', ['v1', 'v2'], 'v1'],
      ['the same version alone', [[['v1'], 60]], 'v1', ['v1'], 'v1'],
      [
        'that version, a second after it became the only one',
        [
          [['v1'], 60],
          [['v2'], 1],
        ],
        'v2',
        ['v2'],
        'v2',
      ],
      [
        'that version, which served beside another one',
        [
          [['v1', 'v2'], 60],
          [['v2'], 1],
        ],
        'v2',
        ['v2'],
        'v2',
      ],
    ] as const)(
      'goes on with a stream at its version or not at all: instances see %s',
      async (_name, steps, version, versions, expected) => {
        await beginAndKill(steps, version);
        expect(await resolve(startInstance(versions).origins, makeResumption('first'))).toBe(
          expected,
        );
      },
    );

    it('refuses a stream that began before its instance saw the change that another one saw', async () => {
      const late = startInstance(['v1']);
      const early = startInstance(['v1']);
      await timers.advance(60_000);
      early.observe(['v1', 'v2']);
      await timers.advance(500);
      early.observe(['v2']);
      await timers.advance(1_500);
      expect(await record(late.origins, 'v1')).toBe(true);
      late.stop();
      early.stop();
      const restarted = startInstance(['v2']);
      expect(await resolve(restarted.origins, makeResumption('first'))).toBe(
        'upstream-unavailable',
      );
    });

    it('refuses a stream whose row was lost with its instance', async () => {
      const instance = startInstance(['v1', 'v2']);
      await timers.advance(60_000);
      store.faults.isRefusing = true;
      expect(await record(instance.origins, 'v1')).toBe(true);
      instance.stop();
      store.faults.isRefusing = false;
      const restarted = startInstance(['v2']);
      expect(await resolve(restarted.origins, makeResumption('first'))).toBe(
        'upstream-unavailable',
      );
    });

    it('reads the record once for each start and calls the store for no stream while the version stays the same', async () => {
      startInstance(['v1']).stop();
      await beginAndKill([[['v1'], 60]], 'v1');
      const callsBefore = store.calls;
      const { origins } = startInstance(['v1']);
      await timers.advance(3_000);
      expect(await record(origins, 'v1')).toBe(true);
      expect(store.calls - callsBefore).toBe(1);
    });
  });

  it('does not guess the version of a stream that its caller does not name', async () => {
    const { observe, origins } = startInstance(['v1']);
    await timers.advance(60_000);
    observe(['v1', 'v2']);
    const unnamed = sampleTurn('second', { lastEventId: '2' }, { route: resumableRoute });
    expect(await resolve(origins, unnamed)).toBe('upstream-unavailable');
    observe(['v1']);
    const alone = await makeInstance(['v1'], ['v1']);
    await timers.advance(60_000);
    expect(await resolve(alone, unnamed)).toBe('v1');
  });

  it('begins streams of a single version while the store is away, also soon after a change', async () => {
    const instance = startInstance(['v1']);
    await timers.advance(60_000);
    instance.observe(['v2']);
    await timers.advance(2_000);
    store.faults.isRefusing = true;
    await timers.advance(400);
    await record(instance.origins, 'v2');
    await record(instance.origins, 'v2');
    expect(await record(instance.origins, 'v2')).toBe(true);
    store.faults.isRefusing = false;
    const other = startInstance(['v2']);
    expect(await resolve(other.origins, makeResumption('first'))).toBe('upstream-unavailable');
  });
});
