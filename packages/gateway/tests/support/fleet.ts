import type { IncomingHttpHeaders } from 'node:http';

import { silentLogger, SystemTimerService } from '@zincring/core';
import { request as startRequest } from 'node:http';
import { afterEach } from 'vitest';

import type { AvailabilityZone, InstanceId, Logger } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';

import type { GatewayRoute } from '../../src/configuration/gatewayConfiguration.js';
import type { Behaviour } from './fakeReplica.js';

import { Gateway } from '../../src/lifecycle/gateway.js';
import { FakeReplica } from './fakeReplica.js';
import { LiveTable } from './liveTable.js';
import { plainWire } from './plainWire.js';
import {
  configurationAddress,
  plainService,
  replicaTable,
  sampleConfiguration,
  sampleConfigurationSource,
  sampleReplica,
  sampleReplicaSource,
  sampleRoute,
  sampleWorkspace,
} from './samples.js';

export interface Reply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer ended as its framing says. */
  readonly isWhole: boolean;
}

export interface Fleet {
  readonly gateway: Gateway;
  readonly replicas: readonly FakeReplica[];
  readonly store: LiveTable;
  send(options?: SendOptions): Promise<Reply>;
  /** Asks as the balancer does. */
  checkReadiness(): Promise<unknown>;
}

export interface FleetOptions {
  readonly logger?: Logger;
  /** Rate of the workspace; none by default. */
  readonly ratePerSecond?: number;
  /** Looks at the calls to the store. */
  readonly watch?: (table: PartitionedTable) => PartitionedTable;
}

export interface SendOptions {
  readonly headers?: Readonly<Record<string, string>>;
  readonly method?: string;
  readonly body?: string;
  readonly path?: string;
  readonly leaveAfter?: number;
}

export const unsafeRoute = sampleRoute({
  kind: 'unsafe',
  services: [{ service: plainService.name, weight: 1 }],
});
export const safeRoute: GatewayRoute = { ...unsafeRoute, kind: 'safe' };
export const streamRoute: GatewayRoute = { ...unsafeRoute, kind: 'streaming' };
export const resumableRoute: GatewayRoute = { ...streamRoute, isResumable: true };

let ids = 0;
const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) {
    await cleanup();
  }
});

export async function startFleet(
  route: GatewayRoute,
  behaviours: readonly (readonly Behaviour[])[],
  {
    logger = silentLogger,
    ratePerSecond = 0,
    watch = (table: PartitionedTable) => table,
  }: FleetOptions = {},
): Promise<Fleet> {
  const store = new LiveTable();
  const replicas: FakeReplica[] = [];
  for (const [index, behaviour] of behaviours.entries()) {
    const replica = new FakeReplica(behaviour);
    const port = await replica.start();
    cleanups.push(() => {
      replica.stop();
    });
    replicas.push(replica);
    store.put(
      { key: `r${String(index)}`, partition: '', table: replicaTable },
      sampleReplica(`r${String(index)}`, { port, service: plainService.name }),
    );
  }
  store.put(
    configurationAddress,
    sampleConfiguration(1, {
      routes: [route],
      workspaces: [sampleWorkspace({ burst: ratePerSecond, ratePerSecond })],
    }),
  );
  const gateway = new Gateway(
    {
      availabilityZone: 'nelson' as AvailabilityZone,
      callers: { host: '127.0.0.1', port: 0 },
      drainMilliseconds: 2_000,
      graceMilliseconds: 1_000,
      instance: 'entry-1' as InstanceId,
      metrics: { host: '127.0.0.1', port: 0 },
      readiness: { host: '127.0.0.1', port: 0 },
      revocationMilliseconds: 5_000,
      rowBytes: 65_536,
      staleConfigurationMilliseconds: 5_000,
    },
    {
      configurationSource: sampleConfigurationSource,
      logger,
      makeId: () => `id-${String(ids++)}`,
      random: () => 0,
      replicaSource: sampleReplicaSource,
      table: watch(store.client()),
      timers: new SystemTimerService(),
      wire: plainWire,
    },
  );
  await gateway.start();
  cleanups.push(async () => {
    await gateway.stop();
  });
  await waitUntil(() => gateway.isReady);
  return {
    checkReadiness: async () => await send(gateway.ports.readiness, { method: 'GET' }),
    gateway,
    replicas,
    send: async options => await send(gateway.ports.callers, options),
    store,
  };
}

/** Notes when each table was asked and when it answered. */
export function noteCalls(table: PartitionedTable, seen: string[]): PartitionedTable {
  const note = async <Answer>(name: string, work: () => Promise<Answer>): Promise<Answer> => {
    seen.push(`asked ${name}`);
    const answer = await work();
    seen.push(`answered ${name}`);
    return answer;
  };
  return {
    changes: async request => await table.changes(request),
    read: async request => await note(request.table, async () => await table.read(request)),
    transact: async transaction =>
      await note(transaction.writes[0]?.table ?? '', async () => await table.transact(transaction)),
  };
}

export async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise(resolve => setTimeout(resolve, 2));
  }
}

export async function send(port: number, options: SendOptions = {}): Promise<Reply> {
  const { body, headers, leaveAfter, method = 'POST', path = '/summaries/7?full=1' } = options;
  return await new Promise((resolve, reject) => {
    const outgoing = startRequest({
      agent: false,
      headers: {
        host: 'agents.example',
        key: 'key-of-clerks',
        'request-id': 'request-1',
        ...headers,
      },
      host: '127.0.0.1',
      method,
      path,
      port,
    });
    outgoing.on('error', reject);
    outgoing.on('response', response => {
      const chunks: Buffer[] = [];
      const finish = (): void => {
        resolve({
          body: Buffer.concat(chunks).toString(),
          headers: response.headers,
          isWhole: response.complete,
          status: response.statusCode ?? 0,
        });
      };
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', finish);
    });
    outgoing.end(body);
    if (leaveAfter !== undefined) {
      setTimeout(() => outgoing.destroy(new Error('left')), leaveAfter);
    }
  });
}

export function runsOf({ replicas }: Fleet): number {
  return replicas.reduce((sum, replica) => sum + replica.seen.length, 0);
}
