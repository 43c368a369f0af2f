import type {
  AvailabilityZone,
  ConfigurationVersion,
  ProgramId,
  Result,
  ServiceName,
  UpstreamId,
  WorkspaceName,
} from '@zincring/core';

import { Err, Ok } from '@zincring/core';

import type { RequestFacts, RequestId } from '../../src/callers/requestFacts.js';
import type { ConfigurationSource } from '../../src/configuration/configurationFollower.js';
import type {
  GatewayConfiguration,
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
  RouteName,
} from '../../src/configuration/gatewayConfiguration.js';
import type { ReplicaEntry, ReplicaRunId, SoftwareVersion } from '../../src/upstreams/replica.js';
import type { ReplicaSource } from '../../src/upstreams/replicaDirectory.js';
import type { RunnableRequest } from '../../src/upstreams/attemptLoop.js';

export const engineService: GatewayService = {
  engine: { cacheTokens: 300_000, slots: 12, tokensPerEvent: 23 },
  maximumConnections: 100,
  name: 'engines' as ServiceName,
};

export const plainService: GatewayService = {
  engine: undefined,
  maximumConnections: 100,
  name: 'tickets' as ServiceName,
};

export function sampleRoute(overrides: Partial<GatewayRoute> = {}): GatewayRoute {
  return {
    host: 'agents.example',
    isOpen: false,
    isResumable: false,
    isSticky: false,
    storesTurns: false,
    kind: 'streaming',
    maximumAttempts: 2,
    name: 'summaries' as RouteName,
    pathPrefix: '/summaries/',
    priority: 1,
    retentionMilliseconds: 60_000,
    services: [{ service: engineService.name, weight: 1 }],
    targetMilliseconds: 250,
    timeoutMilliseconds: 3_000,
    ...overrides,
  };
}

export function sampleWorkspace(overrides: Partial<GatewayWorkspace> = {}): GatewayWorkspace {
  return {
    burst: 20,
    keys: ['key-of-clerks'],
    name: 'clerks' as WorkspaceName,
    priority: undefined,
    ratePerSecond: 10,
    ...overrides,
  };
}

export function sampleConfiguration(
  version: number,
  overrides: Partial<GatewayConfiguration> = {},
): GatewayConfiguration {
  return {
    callerLimits: {
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
      maximumBodyBytes: 4_096,
      maximumHeaderBytes: 16_384,
    },
    routes: [sampleRoute()],
    services: [engineService, plainService],
    version: version as ConfigurationVersion,
    workspaces: [sampleWorkspace()],
    ...overrides,
  };
}

export const configurationAddress = { key: 'rules', partition: '', table: 'operator' };

const EVACUATION_PREFIX = 'evacuated/';

/** Address of the row that evacuates an availability zone. */
export function evacuationAddress(zone: string): typeof configurationAddress {
  return { ...configurationAddress, key: `${EVACUATION_PREFIX}${zone}` };
}

export const sampleConfigurationSource: ConfigurationSource = {
  decode: value => parseJson<GatewayConfiguration>(value),
  findEvacuatedZone: key =>
    key.startsWith(EVACUATION_PREFIX)
      ? (key.slice(EVACUATION_PREFIX.length) as AvailabilityZone)
      : undefined,
  key: configurationAddress.key,
  table: configurationAddress.table,
};

export const replicaTable = 'replicas';

export const sampleReplicaSource: ReplicaSource = {
  decode: (_id, value) => parseJson<ReplicaEntry>(value),
  table: replicaTable,
};

function parseJson<Value>(value: Buffer): Result<Value, string> {
  try {
    return Ok(JSON.parse(value.toString()) as Value);
  } catch {
    return Err('unreadable');
  }
}

export function sampleReplica(id: string, overrides: Partial<ReplicaEntry> = {}): ReplicaEntry {
  return {
    availabilityZone: 'nelson' as ReplicaEntry['availabilityZone'],
    coldMilliseconds: 0,
    host: '127.0.0.1',
    id: id as UpstreamId,
    isDraining: false,
    port: 1,
    runId: `${id}@1` as ReplicaRunId,
    service: engineService.name,
    slots: 12,
    softwareVersion: 'v1' as SoftwareVersion,
    ...overrides,
  };
}

export function sampleFacts(overrides: Partial<RequestFacts> = {}): RequestFacts {
  return {
    affinityKey: undefined,
    key: 'key-of-clerks',
    lastEventId: undefined,
    maximumOutputTokens: undefined,
    previousTurn: undefined,
    programId: undefined,
    programRemainingMilliseconds: undefined,
    promptParts: [],
    promptTokens: undefined,
    remainingMilliseconds: 3_000,
    requestId: 'request-1' as RequestId,
    resumedRequest: undefined,
    sessionId: undefined,
    tokenBudget: undefined,
    ...overrides,
  };
}

export function sampleTurn(
  requestId: string,
  facts: Partial<RequestFacts> = {},
  overrides: Partial<RunnableRequest> = {},
): RunnableRequest {
  return {
    body: Buffer.from('input'),
    deadline: 3_000,
    facts: sampleFacts({
      maximumOutputTokens: 575,
      programId: 'program-1' as ProgramId,
      requestId: requestId as RequestId,
      tokenBudget: 1_725,
      ...facts,
    }),
    headers: [],
    isSentAhead: false,
    method: 'POST',
    path: '/summaries/1',
    route: sampleRoute(),
    service: engineService,
    softwareVersion: undefined,
    urgency: 2,
    workspace: 'clerks' as WorkspaceName,
    ...overrides,
  };
}
