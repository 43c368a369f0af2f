import type { UpstreamId } from '@zincring/core';

import { ManualTimerService, silentLogger, ZincringError } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { RunnableRequest } from '../../src/upstreams/attemptLoop.js';
import type { SoftwareVersion } from '../../src/upstreams/replica.js';
import type { RunOutcome } from '../../src/upstreams/runOutcome.js';

import { CrashRecord, identifyRequest } from '../../src/upstreams/crashRecord.js';
import { CrashTrials, sweptTrials } from '../../src/upstreams/crashTrials.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleReplica, sampleTurn } from '../support/samples.js';

/** Time after which all instances know of a crash, in milliseconds: that of the operator's bound. */
const CONTACT_MILLISECONDS = 3_000;
const RUN_MILLISECONDS = 30;
const served: RunOutcome = {
  body: { events: 1, framing: 'chunked' },
  kind: 'served',
  replica: 'r0' as UpstreamId,
  runs: 1,
  softwareVersion: 'v1' as SoftwareVersion,
  status: 200,
};

// Guards against: a request that crashes replicas was counted once a round when several callers sent it at once.
describe(CrashTrials, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let records: CrashRecord[];
  let trials: CrashTrials[];
  let nextId: number;

  beforeEach(async () => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    nextId = 0;
    const instances = [1, 2, 3, 4].map(() => {
      const common = { logger: silentLogger, table: store.client(), timers };
      const record = new CrashRecord(common);
      const makeId = (): string => `trial-${String(nextId++)}`;
      record.start();
      return {
        record,
        trials: new CrashTrials({ ...common, makeId, random: () => 0.5, record }),
      };
    });
    records = instances.map(({ record }) => record);
    trials = instances.map(each => each.trials);
    await timers.advance(100);
  });

  /** Sends a request to an instance as a caller does; returns whether it ran. */
  async function send(
    instance: number,
    request: RunnableRequest,
    attempt: (request: RunnableRequest) => Promise<RunOutcome>,
  ): Promise<boolean> {
    const repetition = { ...request, facts: { ...request.facts } };
    if (records[instance]!.check(repetition) !== undefined) {
      return false;
    }
    let hasRun = false;
    const { signal } = new AbortController();
    await trials[instance]!.run(repetition, signal, async runnable => {
      hasRun = true;
      return await attempt(runnable);
    });
    return hasRun;
  }

  /** Runs a request at a replica that crashes meanwhile. */
  function crashes(instance: number, replica?: string) {
    return async (request: RunnableRequest): Promise<RunOutcome> => {
      const sentAt = timers.now();
      await new Promise<void>(resolve => timers.after(RUN_MILLISECONDS, resolve));
      records[instance]!.record({
        crashedAt: timers.now(),
        entry: sampleReplica(replica ?? `r${String(nextId++)}`),
        identity: records[instance]!.suspect(request),
        sentAt,
      });
      return { error: new ZincringError('upstream-failed'), kind: 'failed' };
    };
  }

  /** Sends a request to several instances at once; returns how often it ran. */
  async function sendAtOnce(
    instances: readonly number[],
    request: RunnableRequest,
    attempt: (instance: number) => (request: RunnableRequest) => Promise<RunOutcome>,
  ): Promise<number> {
    const sent = instances.map(async instance => await send(instance, request, attempt(instance)));
    await timers.advance(500);
    return (await Promise.all(sent)).filter(Boolean).length;
  }

  const poison = sampleTurn('a', {}, { body: Buffer.from('poison') });
  const shared = sampleTurn('shared', {}, { body: Buffer.alloc(0), method: 'GET' });

  it.each([
    ['three instances at once', [0, 1, 2]],
    ['four instances at once', [0, 1, 2, 3]],
    ['one instance, several times at once', [0, 0, 0, 0]],
    ['one instance after the other', [0]],
  ])(
    'let a request that crashes replicas run three times after the third crash: %s',
    async (_name, instances) => {
      let late = 0;
      for (let round = 0; round < 8; round++) {
        const runs = await sendAtOnce(instances, poison, crashes);
        late += round === 0 ? 0 : runs;
        await timers.advance(CONTACT_MILLISECONDS);
      }
      expect(late).toBeLessThanOrEqual(3);
      expect(late).toBeGreaterThan(0);
    },
  );

  it.each([
    ['with a body', poison],
    ['without a body', shared],
  ])(
    'clear a request %s that is served after an outage of its replicas',
    async (_name, request) => {
      await sendAtOnce([0, 1, 2], request, crashes);
      await timers.advance(CONTACT_MILLISECONDS);
      const serves = (instance: number) => async (runnable: RunnableRequest) => {
        records[instance]!.recordServed(runnable, timers.now());
        return await Promise.resolve(served);
      };
      expect(await sendAtOnce([0], request, serves)).toBe(1);
      await timers.advance(CONTACT_MILLISECONDS);
      for (let round = 0; round < 4; round++) {
        expect(await sendAtOnce([0, 1, 2, 3, 3], request, serves)).toBe(5);
      }
    },
  );

  it('are given back if the request did not run', async () => {
    await sendAtOnce([0, 1, 2], poison, crashes);
    await timers.advance(CONTACT_MILLISECONDS);
    const isFull = () => async (): Promise<RunOutcome> =>
      await Promise.resolve({ error: new ZincringError('upstream-unavailable'), kind: 'failed' });
    for (let round = 0; round < 5; round++) {
      expect(await sendAtOnce([0, 1, 2], poison, isFull)).toBe(3);
    }
  });

  it('are one attempt each', async () => {
    await sendAtOnce([0, 1, 2], poison, crashes);
    await timers.advance(CONTACT_MILLISECONDS);
    const attempts: number[] = [];
    await sendAtOnce([0], poison, () => async ({ route }) => {
      attempts.push(route.maximumAttempts);
      return await Promise.resolve(served);
    });
    expect(attempts).toEqual([1]);
  });

  it('are as many for each instance as for all together while the store does not answer', async () => {
    await sendAtOnce([0, 1, 2], poison, crashes);
    await timers.advance(CONTACT_MILLISECONDS);
    store.faults.isRefusing = true;
    let runs = 0;
    for (let round = 0; round < 10; round++) {
      runs += await sendAtOnce(
        [0, 0],
        poison,
        () => async () =>
          await Promise.resolve({ error: new ZincringError('upstream-failed'), kind: 'failed' }),
      );
    }
    expect(runs).toBe(3);
  });

  it('ask the store rarely once none is left', async () => {
    for (let round = 0; round < 3; round++) {
      await sendAtOnce([0, 1, 2], poison, crashes);
      await timers.advance(CONTACT_MILLISECONDS);
    }
    const callsBefore = store.calls;
    for (let round = 0; round < 100; round++) {
      await sendAtOnce([0], poison, crashes);
    }
    // Four instances follow the feed by polls of two seconds; every two seconds one asks for a trial.
    expect(store.calls - callsBefore).toBeLessThanOrEqual((50 / 2) * 5 + 5);
  });

  it.each(['null', '{}', '{"at":"now","trials":["a","b","c"]}', '{"at":0,"trials":[1,2,3]}'])(
    'count for nothing in a row that another writer left: %s',
    async value => {
      const address = { key: identifyRequest(poison), partition: '', table: sweptTrials.table };
      store.put(address, value);
      await sendAtOnce([0, 1, 2], poison, crashes);
      await timers.advance(CONTACT_MILLISECONDS);
      expect(await sendAtOnce([0, 1, 2], poison, crashes)).toBe(3);
    },
  );
});
