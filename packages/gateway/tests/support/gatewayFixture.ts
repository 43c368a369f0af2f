import type { IncomingHttpHeaders } from 'node:http';

import { failWithConnection, silentLogger, SystemTimerService } from '@zincring/core';
import { request as startRequest } from 'node:http';
import { afterEach } from 'vitest';

import type { AvailabilityZone, InstanceId, Logger, Region } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';

import type {
  GatewayRoute,
  WarmUpDescription,
} from '../../src/configuration/gatewayConfiguration.js';
import type { ReplicaEntry, SoftwareVersion } from '../../src/upstreams/replica.js';
import type { Behaviour } from './fakeReplica.js';

import { Gateway } from '../../src/lifecycle/gateway.js';
import { FakeReplica } from './fakeReplica.js';
import { RealTimeTable } from './realTimeTable.js';
import { plainHeaderCodec } from './plainHeaderCodec.js';
import {
  configurationAddress,
  engineService,
  plainService,
  replicaTable,
  sampleConfiguration,
  sampleConfigurationSource,
  sampleReplica,
  sampleReplicaSource,
  sampleRoute,
  sampleWorkspace,
} from './samples.js';

/** A response as the caller received it. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the body was received to its end, by its framing, and its connection was not reset. */
  readonly isComplete: boolean;
  /** Whether the head announces a length or chunks, so that the end of the body is marked. */
  readonly isFramed: boolean;
}

/** A running gateway with its replicas and store. */
export interface GatewayFixture {
  readonly gateway: Gateway;
  readonly replicas: readonly FakeReplica[];
  readonly store: RealTimeTable;
  /** Registers a replica as draining. */
  drainReplica(index: number): void;
  /** Removes the registration of a replica, and registers it again once all instances have forgotten it. */
  lapseReplica(index: number): Promise<void>;
  /** Removes the registration of a replica. */
  removeReplica(index: number): void;
  /** Registers a replica again whose registration was removed. */
  restoreReplica(index: number): void;
  /** Starts a further instance with the same store and replicas. */
  startInstance(): Promise<GatewayFixture>;
  /** Sends a request as a caller. */
  send(options?: RequestOptions): Promise<ReceivedResponse>;
  /** Sends a readiness check as the load balancer. */
  checkReadiness(): Promise<unknown>;
}

export interface GatewayFixtureOptions {
  /** Memory of each instance, in bytes; not bounded by default. */
  readonly memoryBytes?: number;
  /** Maximum size of the body of a request, in bytes; that of the sample configuration by default. */
  readonly maximumBodyBytes?: number;
  readonly logger?: Logger;
  /** Availability zones of the replicas; `nelson` by default. */
  readonly availabilityZones?: readonly string[];
  /** Times for which the replicas are cold, in milliseconds; 0 by default. */
  readonly coldMilliseconds?: readonly number[];
  /** How replicas of plain services warm up; they take any rate at once by default. */
  readonly warmUp?: WarmUpDescription;
  /** Permitted regions of the workspace; any by default. */
  readonly workspaceRegions?: readonly Region[];
  /** Random numbers of the instances; 0 by default. */
  readonly random?: () => number;
  /** Rate of the workspace, in requests per second; no limit by default. */
  readonly ratePerSecond?: number;
  /** Service of the replicas and the slots of each; a plain service with 12 by default. */
  readonly replicaService?: { readonly name: ReplicaEntry['service']; readonly slots: number };
  /** Software versions of the replicas; `v1` by default. */
  readonly softwareVersions?: readonly string[];
  /** Wraps the gateway's client of the store, for instance to record its calls. */
  readonly wrapTable?: (table: PartitionedTable) => PartitionedTable;
}

export interface RequestOptions {
  readonly headers?: Readonly<Record<string, string>>;
  readonly method?: string;
  readonly body?: string;
  readonly path?: string;
  /** Time after which the caller disconnects, in milliseconds; never by default. */
  readonly disconnectAfterMilliseconds?: number;
}

export const unsafeRoute = sampleRoute({
  kind: 'unsafe',
  services: [{ service: plainService.name, weight: 1 }],
});
export const safeRoute: GatewayRoute = { ...unsafeRoute, kind: 'safe' };
export const streamRoute: GatewayRoute = { ...unsafeRoute, kind: 'streaming' };
export const resumableRoute: GatewayRoute = { ...streamRoute, isResumable: true };

/** Time after which instances have noticed a change of the registrations and swept what they no longer need, in milliseconds. */
const FORGET_MILLISECONDS = 2_500;

/** Regions of the availability zones of all fixtures. */
const regions = new Map(
  Object.entries({ banff: 'east', kaslo: 'west', nelson: 'west' }),
) as ReadonlyMap<string, string> as ReadonlyMap<AvailabilityZone, Region>;

let nextId = 0;
const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) {
    await cleanup();
  }
});

/**
 * Starts a gateway with one route and the given replicas, and waits until it is ready. Everything
 * is stopped after the test.
 *
 * @param behaviours behaviours of each replica, one per request
 */
export async function startGateway(
  route: GatewayRoute,
  behaviours: readonly (readonly Behaviour[])[],
  {
    logger = silentLogger,
    maximumBodyBytes,
    memoryBytes,
    random = () => 0,
    ratePerSecond = 0,
    replicaService = { name: plainService.name, slots: 12 },
    softwareVersions = [],
    availabilityZones = [],
    coldMilliseconds = [],
    warmUp,
    workspaceRegions = [],
    wrapTable = (table: PartitionedTable) => table,
  }: GatewayFixtureOptions = {},
): Promise<GatewayFixture> {
  const store = new RealTimeTable();
  const replicas: FakeReplica[] = [];
  const registrations: ReplicaEntry[] = [];
  for (const [index, behaviour] of behaviours.entries()) {
    const replica = new FakeReplica(behaviour);
    const port = await replica.start();
    cleanups.push(() => {
      replica.stop();
    });
    replicas.push(replica);
    const registration = sampleReplica(`r${String(index)}`, {
      availabilityZone: (availabilityZones[index] ?? 'nelson') as AvailabilityZone,
      coldMilliseconds: coldMilliseconds[index] ?? 0,
      port,
      service: replicaService.name,
      slots: replicaService.slots,
      softwareVersion: (softwareVersions[index] ?? 'v1') as SoftwareVersion,
    });
    registrations.push(registration);
    registerReplica(store, registration);
  }
  const { callerLimits } = sampleConfiguration(1);
  store.put(
    configurationAddress,
    sampleConfiguration(1, {
      callerLimits: {
        ...callerLimits,
        maximumBodyBytes: maximumBodyBytes ?? callerLimits.maximumBodyBytes,
      },
      routes: [route],
      services: [engineService, { ...plainService, warmUp }],
      workspaces: [
        sampleWorkspace({
          burst: ratePerSecond,
          permittedRegions: workspaceRegions,
          ratePerSecond,
        }),
      ],
    }),
  );
  return await startInstance({
    logger,
    memoryBytes,
    random,
    registrations,
    replicas,
    store,
    wrapTable,
  });
}

/** What the instances of a fixture share. */
interface SharedParts {
  readonly logger: Logger;
  readonly memoryBytes: number | undefined;
  readonly random: () => number;
  readonly registrations: readonly ReplicaEntry[];
  readonly replicas: readonly FakeReplica[];
  readonly store: RealTimeTable;
  readonly wrapTable: (table: PartitionedTable) => PartitionedTable;
}

function registerReplica(store: RealTimeTable, registration: ReplicaEntry): void {
  store.put({ key: registration.id, partition: '', table: replicaTable }, registration);
}

async function startInstance(parts: SharedParts): Promise<GatewayFixture> {
  const { logger, memoryBytes, random, registrations, replicas, store, wrapTable } = parts;
  const gateway = new Gateway(
    {
      availabilityZone: 'nelson' as AvailabilityZone,
      regions,
      callers: { host: '127.0.0.1', port: 0 },
      coldRateBound: { factor: 1.5, slack: 5 },
      drainMilliseconds: 2_000,
      evacuationMilliseconds: 5_000,
      graceMilliseconds: 1_000,
      instance: `entry-${String(nextId++)}` as InstanceId,
      ...(memoryBytes === undefined ? {} : { memoryBytes }),
      metrics: { host: '127.0.0.1', port: 0 },
      peers: { host: '127.0.0.1', port: 0 },
      readiness: { host: '127.0.0.1', port: 0 },
      revocationMilliseconds: 5_000,
      rowBytes: 65_536,
      staleConfigurationMilliseconds: 5_000,
    },
    {
      configurationSource: sampleConfigurationSource,
      logger,
      makeId: () => `id-${String(nextId++)}`,
      random,
      replicaSource: sampleReplicaSource,
      table: wrapTable(store.client()),
      timers: new SystemTimerService(),
      headerCodec: plainHeaderCodec,
    },
  );
  await gateway.start();
  cleanups.push(async () => {
    await gateway.stop();
  });
  await waitUntil(() => gateway.isReady);
  const removeReplica = (index: number): void => {
    store.remove({ key: `r${String(index)}`, partition: '', table: replicaTable });
  };
  const restoreReplica = (index: number): void => {
    const registration = registrations[index];
    if (registration !== undefined) {
      registerReplica(store, registration);
    }
  };
  return {
    checkReadiness: async () => await send(gateway.ports.readiness, { method: 'GET' }),
    drainReplica: index => {
      const registration = registrations[index];
      if (registration !== undefined) {
        registerReplica(store, { ...registration, isDraining: true });
      }
    },
    gateway,
    lapseReplica: async index => {
      removeReplica(index);
      await new Promise(resolve => setTimeout(resolve, FORGET_MILLISECONDS));
      restoreReplica(index);
      await new Promise(resolve => setTimeout(resolve, FORGET_MILLISECONDS));
    },
    removeReplica,
    replicas,
    restoreReplica,
    send: async options => await send(gateway.ports.callers, options),
    startInstance: async () => await startInstance(parts),
    store,
  };
}

/** Records the start and the end of each read and transaction, with the name of its table. */
export function recordCalls(table: PartitionedTable, calls: string[]): PartitionedTable {
  const record = async <Answer>(name: string, work: () => Promise<Answer>): Promise<Answer> => {
    calls.push(`asked ${name}`);
    const answer = await work();
    calls.push(`answered ${name}`);
    return answer;
  };
  return {
    changes: async request => await table.changes(request),
    read: async request => await record(request.table, async () => await table.read(request)),
    transact: async transaction =>
      await record(
        transaction.writes[0]?.table ?? '',
        async () => await table.transact(transaction),
      ),
  };
}

/** Polls until the condition is true. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 2));
  }
}

/** Sends a request to a port of the gateway. */
export async function send(port: number, options: RequestOptions = {}): Promise<ReceivedResponse> {
  const {
    body,
    headers,
    disconnectAfterMilliseconds,
    method = 'POST',
    path = '/summaries/7?full=1',
  } = options;
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
      outgoing.off('error', reject);
      const chunks: Buffer[] = [];
      let wasReset = false;
      failWithConnection(outgoing, response);
      const finish = (): void => {
        resolve({
          body: Buffer.concat(chunks).toString(),
          headers: response.headers,
          isComplete: response.complete && !wasReset,
          isFramed: 'content-length' in response.headers || 'transfer-encoding' in response.headers,
          status: response.statusCode ?? 0,
        });
      };
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => {
        wasReset = true;
      });
      response.on('close', finish);
    });
    outgoing.end(body);
    if (disconnectAfterMilliseconds !== undefined) {
      setTimeout(() => outgoing.destroy(new Error('left')), disconnectAfterMilliseconds);
    }
  });
}

/** Counts the requests that the replicas have received. */
export function countRuns({ replicas }: GatewayFixture): number {
  return replicas.reduce((sum, replica) => sum + replica.receivedRequests.length, 0);
}
