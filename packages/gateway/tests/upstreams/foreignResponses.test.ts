import { ResponseTurns, createLogger, silentLogger, SystemTimerService } from '@zincring/core';
import { describe, expect, it, onTestFinished } from 'vitest';

import type { GatewayRoute } from '../../src/configuration/gatewayConfiguration.js';
import type { DirectRelayTargetDependencies } from '../../src/upstreams/directRelayTarget.js';
import type { Behaviour } from '../support/fakeReplica.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';

import { GatewayMetrics } from '../../src/observation/gatewayMetrics.js';
import { DirectRelayTarget } from '../../src/upstreams/directRelayTarget.js';
import { ReplicaReachability } from '../../src/upstreams/reachability/replicaReachability.js';
import { ReplicaLoads } from '../../src/upstreams/replicaLoads.js';
import { ReplicaTransport } from '../../src/upstreams/replicaTransport.js';
import {
  FakeReplica,
  refuses,
  refusesOtherRequest,
  repeatsRefusal,
  responds,
  streamsEvents,
} from '../support/fakeReplica.js';
import {
  resumableRoute,
  safeRoute,
  startGateway,
  streamRoute,
  unsafeRoute,
  waitUntil,
} from '../support/gatewayFixture.js';
import { plainHeaderCodec } from '../support/plainHeaderCodec.js';
import { sampleReplica } from '../support/samples.js';

const nonIdempotentRoutes: readonly (readonly [string, GatewayRoute])[] = [
  ['an unsafe request', unsafeRoute],
  ['a stream that cannot be resumed', streamRoute],
];

/** Statuses of responses to requests with ids of their own, by id. */
async function sendInTurn(
  fixture: GatewayFixture,
  isDone: () => boolean,
): Promise<ReadonlyMap<string, number>> {
  const statuses = new Map<string, number>();
  while (!isDone()) {
    const id = `request-${String(statuses.size)}`;
    const { status } = await fixture.send({ body: 'input', headers: { 'request-id': id } });
    statuses.set(id, status);
  }
  return statuses;
}

function countRunsOf(id: string, replicas: readonly FakeReplica[], refused: string): number {
  const received = replicas.flatMap(({ receivedRequests }) => receivedRequests);
  return id === refused
    ? 0
    : received.filter(({ headers }) => headers.get('request-id') === id).length;
}

// Guards against: a late copy of a refusal was taken for that of the next request (review/1).
describe('a refusal of another request', () => {
  it.each(nonIdempotentRoutes)(
    'on a kept connection never makes %s run at a second replica',
    async (_name, route) => {
      const fixture = await startGateway(route, [[repeatsRefusal()], [responds('done')]]);
      const [repeating] = fixture.replicas;
      const statuses = await sendInTurn(fixture, () => repeating!.receivedRequests.length >= 2);
      const [refused, afterwards] = repeating!.receivedRequests.map(
        ({ headers }) => headers.get('request-id') ?? '',
      );
      expect(countRunsOf(afterwards!, fixture.replicas, refused!)).toBe(1);
      expect(statuses.get(afterwards!)).toBe(502);
    },
  );

  it.each(nonIdempotentRoutes)(
    'on a kept connection never promises that %s has not run',
    async (_name, route) => {
      const fixture = await startGateway(route, [[repeatsRefusal()]]);
      const [repeating] = fixture.replicas;
      const statuses = await sendInTurn(fixture, () => repeating!.receivedRequests.length >= 2);
      expect([...statuses.values()]).toEqual([503, 502]);
    },
  );

  it.each<[string, Behaviour]>([
    ['names another request', refusesOtherRequest('other')],
    ['names no request', refusesOtherRequest(undefined)],
    ['comes from another replica', refusesOtherRequest('other', '421 Misdirected')],
  ])('proves nothing when it %s', async (_name, behaviour) => {
    const fixture = await startGateway(unsafeRoute, [[behaviour], [behaviour]]);
    expect((await fixture.send()).status).toBe(502);
    const received = fixture.replicas.map(({ receivedRequests }) => receivedRequests.length);
    expect(received.toSorted()).toEqual([0, 1]);
  });

  it.each<[string, GatewayRoute, Behaviour]>([
    ['a safe request', safeRoute, responds('done')],
    ['a stream that can be resumed', resumableRoute, streamsEvents([1, 2], 'whole')],
  ])('costs %s one attempt only', async (_name, route, serves) => {
    const fixture = await startGateway(route, [[refusesOtherRequest('other'), serves], [serves]]);
    for (let round = 0; round < 3; round++) {
      expect(await fixture.send()).toMatchObject({ isComplete: true, status: 200 });
    }
  });

  it('leaves no connection in use that is one response behind', async () => {
    const fixture = await startGateway(safeRoute, [[refusesOtherRequest('other')]]);
    await fixture.send();
    await fixture.send();
    const [replica] = fixture.replicas;
    await waitUntil(() => replica!.closedConnections === 2);
    expect(replica!.receivedRequests).toHaveLength(2);
  });

  it('ends an attempt that is relayed for another instance, and its connection', async () => {
    const replica = new FakeReplica([refusesOtherRequest('other')]);
    const entry = sampleReplica('r0', { port: await replica.start() });
    const timers = new SystemTimerService();
    const loads = new ReplicaLoads(timers, () => 1);
    const transport = new ReplicaTransport({
      headerCodec: plainHeaderCodec,
      loads,
      logger: silentLogger,
      metrics: new GatewayMetrics(),
      reachability: new ReplicaReachability({
        listReplicas: () => [entry],
        logger: silentLogger,
        probe: async () => await Promise.resolve(true),
        random: Math.random,
        timers,
      }),
      relay: {
        exchange: async () => await Promise.resolve({ kind: 'unavailable', reason: 'no peer' }),
      },
      timers,
      turns: new ResponseTurns(timers),
    });
    onTestFinished(() => {
      replica.stop();
    });
    const target = new DirectRelayTarget({
      headerCodec: plainHeaderCodec,
      isZoneEvacuated: () => false,
      loads,
      transport,
    } as unknown as DirectRelayTargetDependencies);
    for (let request = 1; request <= 2; request++) {
      const outcome = await target.exchange(entry, {
        body: undefined,
        headers: ['request-id', `request-${String(request)}`],
        isRepeatable: false,
        method: 'POST',
        path: '/summaries/7',
        signal: new AbortController().signal,
      });
      expect(outcome).toMatchObject({ isPathFault: false, kind: 'foreign' });
    }
    await waitUntil(() => replica.closedConnections === 2);
    expect(loads.findOrAddState(entry).inFlight).toBe(0);
  });
});

describe('a response', () => {
  it('is logged with the request that it answers when it refuses an attempt', async () => {
    const lines: Readonly<Record<string, unknown>>[] = [];
    const logger = createLogger(
      'info',
      {},
      { write: line => lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>) },
    );
    const fixture = await startGateway(safeRoute, [[refuses], [responds('done')]], { logger });
    expect((await fixture.send()).status).toBe(200);
    expect(lines.find(({ event }) => event === 'attempt-refused')).toMatchObject({
      answeredRequest: 'request-1',
      isConnectionReused: false,
      request: 'request-1',
      status: 503,
    });
  });
});
