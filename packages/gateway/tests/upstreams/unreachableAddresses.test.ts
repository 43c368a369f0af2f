import type { UpstreamId } from '@zincring/core';

import { createLogger, probeConnection, silentLogger, SystemTimerService } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { ReplicaEntry } from '../../src/upstreams/replica.js';

import { GatewayMetrics } from '../../src/observation/gatewayMetrics.js';
import { RelayCandidates } from '../../src/peers/relayCandidates.js';
import { RelayClient } from '../../src/peers/relayClient.js';
import { responds } from '../support/fakeReplica.js';
import { plainService, replicaTable, sampleReplica } from '../support/samples.js';
import { startGateway, unsafeRoute, waitUntil } from '../support/gatewayFixture.js';

const timers = new SystemTimerService();

/** Entries of another writer for which Node.js cannot make a request. */
const oddEntries: readonly (readonly [string, Partial<ReplicaEntry>])[] = [
  ['a port out of range', { port: 70_000 }],
  ['a negative port', { port: -1 }],
  ['a host that is none', { host: '999.1.1.1' }],
  ['an id with a line feed', { id: 'r9\nx: 1' as UpstreamId }],
  ['an id of other letters', { id: '複製' as UpstreamId }],
];

describe('an address to which nothing can be sent', () => {
  it.each(oddEntries)('never breaks the connection of a caller: %s', async (_name, odd) => {
    const lines: string[] = [];
    const fixture = await startGateway(unsafeRoute, [[responds('done')]], {
      availabilityZones: ['banff'],
      logger: createLogger('info', {}, { write: line => lines.push(line) }),
    });
    const address = { key: odd.id ?? 'r9', partition: '', table: replicaTable };
    // It is in the availability zone of the instance, so that it is chosen first.
    fixture.store.put(address, sampleReplica('r9', { ...odd, service: plainService.name }));
    await waitUntil(() => lines.filter(line => line.includes('"replica-seen"')).length === 2);
    const responses = await Promise.all(Array.from({ length: 8 }, async () => fixture.send()));
    expect(responses.map(({ body }) => body)).toEqual(Array(8).fill('done'));
    expect(lines.some(line => line.includes('"attempt-refused"'))).toBe(true);
  });

  it.each([70_000, -1, Number.NaN])('never leaves a probe of port %d pending', async port => {
    expect(await probeConnection(timers, sampleReplica('r9', { port }))).toBe('silent');
  });

  it.each(['10.1.0.11:70000', '10.1.0.11:-1', 'nowhere:x'])(
    'never breaks a request that the instance at %s is asked to relay',
    async address => {
      const client = new RelayClient({
        candidates: new RelayCandidates(
          () => [address],
          timers,
          () => 0,
        ),
        logger: silentLogger,
        metrics: new GatewayMetrics(),
        timers,
      });
      const outcome = await client.exchange(sampleReplica('r0'), {
        body: undefined,
        headers: [],
        isRepeatable: false,
        method: 'GET',
        path: '/summaries/7',
        signal: new AbortController().signal,
      });
      expect(outcome.kind).toBe('unavailable');
    },
  );
});
