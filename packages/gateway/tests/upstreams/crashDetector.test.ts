import type { ProbeOutcome } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { ReplicaChange } from '../../src/upstreams/replicaDirectory.js';
import type { ReplicaEntry, ReplicaRunId } from '../../src/upstreams/replica.js';
import type { ExchangeOutcome } from '../../src/upstreams/replicaExchange.js';

import { CrashDetector } from '../../src/upstreams/crashDetector.js';
import { CrashRecord } from '../../src/upstreams/crashRecord.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleReplica, sampleTurn } from '../support/samples.js';

describe(CrashDetector, () => {
  let timers: ManualTimerService;
  let probeOutcome: ProbeOutcome;
  let probes: number;
  let registered: readonly ReplicaEntry[];
  let notify: (change: ReplicaChange) => void;
  let isPathSuspect: boolean;
  let detector: CrashDetector;

  beforeEach(() => {
    timers = new ManualTimerService();
    probeOutcome = 'refused';
    probes = 0;
    registered = [];
    isPathSuspect = false;
    const table = new MemoryTable(timers).client();
    detector = new CrashDetector({
      directory: {
        findReplicas: () => registered,
        subscribe: listener => {
          notify = listener;
        },
      },
      isLeaving: () => false,
      isPathSuspect: () => isPathSuspect,
      logger: silentLogger,
      probe: async () => {
        probes++;
        return await Promise.resolve(probeOutcome);
      },
      record: new CrashRecord({ logger: silentLogger, table, timers }),
      timers,
    });
  });

  const request = sampleTurn('a', {}, { body: Buffer.from('poison') });
  const lost: ExchangeOutcome = { isPathFault: false, kind: 'lost', reason: 'socket hang up' };

  /** Sends the request to replicas one after the other, and breaks each exchange. */
  async function breakExchanges(
    outcome = lost,
    onBroken: (entry: ReplicaEntry) => void = () => undefined,
    isAborted = false,
  ): Promise<void> {
    for (const id of ['r1', 'r2', 'r3']) {
      const entry = sampleReplica(id);
      const sentAt = timers.now();
      await timers.advance(30);
      detector.recordEnd(request, { end: 'lost', entry, isAborted, outcome, sentAt });
      await timers.advance(200);
      onBroken(entry);
      await timers.advance(500);
    }
  }

  it('takes replicas that refuse connections for crashed', async () => {
    await breakExchanges();
    expect(detector.check(request)?.ran).toBe('no');
  });

  it('does not refuse a request whose answers were lost by replicas that accept connections', async () => {
    probeOutcome = 'open';
    await breakExchanges(lost, ({ id }) => {
      notify({ id, kind: 'gone' });
    });
    expect(probes).toBe(3);
    expect(detector.check(request)).toBeUndefined();
  });

  it.each<[string, (entry: ReplicaEntry) => ReplicaChange, boolean]>([
    ['goes', ({ id }) => ({ id, kind: 'gone' }), true],
    [
      'is replaced under its id',
      entry => ({ entry: { ...entry, runId: `${entry.id}@2` as ReplicaRunId }, kind: 'seen' }),
      true,
    ],
    [
      'is replaced at its address',
      ({ id }) => ({ entry: sampleReplica(`next-${id}`), kind: 'seen' }),
      true,
    ],
    ['is renewed', entry => ({ entry, kind: 'seen' }), false],
    ['drains', entry => ({ entry: { ...entry, isDraining: true }, kind: 'seen' }), false],
  ])(
    'decides about silent replicas by their registration, which %s',
    async (_name, makeChange, haveCrashed) => {
      probeOutcome = 'silent';
      await breakExchanges(lost, entry => {
        notify(makeChange(entry));
      });
      expect(detector.check(request) !== undefined).toBe(haveCrashed);
    },
  );

  it('takes no silent replica for crashed whose registration goes much later', async () => {
    probeOutcome = 'silent';
    await breakExchanges();
    await timers.advance(6_000);
    for (const id of ['r1', 'r2', 'r3']) {
      notify({ id: sampleReplica(id).id, kind: 'gone' });
    }
    expect(detector.check(request)).toBeUndefined();
  });

  it.each<[string, () => Promise<void>]>([
    [
      'its path failed',
      async () => {
        await breakExchanges({ ...lost, isPathFault: true });
      },
    ],
    [
      'it was aborted',
      async () => {
        await breakExchanges(lost, undefined, true);
      },
    ],
    [
      'the request was not sent',
      async () => {
        await breakExchanges({ isPathFault: false, kind: 'not-sent', reason: 'refused' });
      },
    ],
    [
      'this instance may have lost its links',
      async () => {
        isPathSuspect = true;
        await breakExchanges();
      },
    ],
    [
      'the replica drains',
      async () => {
        registered = ['r1', 'r2', 'r3'].map(id => sampleReplica(id, { isDraining: true }));
        await breakExchanges();
      },
    ],
  ])('does not suspect the replica of an exchange when %s', async (_name, run) => {
    await run();
    expect(probes).toBe(0);
    expect(detector.check(request)).toBeUndefined();
  });

  it('suspects no request that is served before its replica is known to have crashed', async () => {
    probeOutcome = 'silent';
    await breakExchanges();
    const served: ExchangeOutcome = { isPathFault: false, kind: 'not-sent', reason: '' };
    detector.recordEnd(request, {
      end: 'served',
      entry: sampleReplica('r4'),
      isAborted: false,
      outcome: served,
      sentAt: timers.now(),
    });
    for (const id of ['r1', 'r2', 'r3']) {
      notify({ id: sampleReplica(id).id, kind: 'gone' });
    }
    expect(detector.check(request)).toBeUndefined();
  });

  it('probes a replica once for exchanges that break together', async () => {
    for (const id of ['a', 'b', 'c']) {
      const broken = sampleTurn(id, {}, { body: Buffer.from(id) });
      detector.recordEnd(broken, {
        end: 'lost',
        entry: sampleReplica('r1'),
        isAborted: false,
        outcome: lost,
        sentAt: 0,
      });
    }
    await timers.advance(500);
    expect(probes).toBe(1);
  });
});
