export type {
  ResponseFacts,
  PromptPart,
  PromptPartId,
  RequestFacts,
  RequestId,
  HeaderCodec,
  AttemptFacts,
  SessionId,
  TurnId,
} from './callers/requestFacts.js';
export type { ConfigurationSource } from './configuration/configurationFollower.js';
export type {
  CallerLimits,
  EngineDescription,
  GatewayConfiguration,
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
  RouteKind,
  RouteName,
  WeightedService,
} from './configuration/gatewayConfiguration.js';
export type { Finding, FindingKind } from './configuration/review/finding.js';
export { formatFinding } from './configuration/review/finding.js';
export { reviewConfiguration } from './configuration/review/reviewConfiguration.js';
export type { GatewayDependencies, GatewayPorts } from './lifecycle/gatewayDependencies.js';
export { Gateway } from './lifecycle/gateway.js';
export type { GatewayOptions, ListenAddress } from './lifecycle/gatewayOptions.js';
export type { ReplicaEntry, ReplicaRunId, SoftwareVersion } from './upstreams/replica.js';
export type { ReplicaSource } from './upstreams/replicaDirectory.js';
export { findAgreedValue, toHeaderMap, withoutHeaders } from './util/headerList.js';
