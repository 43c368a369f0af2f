import type { Brand } from './brand.js';

/** Name of a workspace, as defined in the rules. */
export type WorkspaceName = Brand<string, 'WorkspaceName'>;
/** Identifier of a program: opaque and unique across the fleet. */
export type ProgramId = Brand<string, 'ProgramId'>;
/** Identifier of a call, chosen by the caller; makes resends within the program idempotent. */
export type CallId = Brand<string, 'CallId'>;
/** Name of an instance, taken from its settings and stable across restarts. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** Identifier of one run of one instance: the instance id with a random suffix. */
export type IncarnationId = Brand<string, 'IncarnationId'>;
/** Number of a shard, from 0 to the shard count minus one. */
export type ShardId = Brand<number, 'ShardId'>;
/** Fencing token of a shard lease; increases with every change of holder. */
export type Epoch = Brand<number, 'Epoch'>;
/** Identifier of one upstream replica. */
export type UpstreamId = Brand<string, 'UpstreamId'>;
/** Name of a service that upstream replicas offer. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** Name of an availability zone. */
export type AvailabilityZone = Brand<string, 'AvailabilityZone'>;
/** Name of a region, which contains availability zones. */
export type Region = Brand<string, 'Region'>;
/** Hexadecimal SHA-256 of a caller's key. */
export type KeyHash = Brand<string, 'KeyHash'>;
/** Number of a configuration version; increases by one with every accepted change. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>;
/** Hexadecimal SHA-256 that identifies the complete history of a program up to one turn. */
export type HistoryDigest = Brand<string, 'HistoryDigest'>;

/** Characters and length accepted in a name or identifier from outside the process. */
const IDENTIFIER_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;

/**
 * Checks whether a text is valid as a name or identifier.
 *
 * @example
 * isIdentifier('minutes-llm'); // true
 * isIdentifier('a b'); // false
 */
export function isIdentifier(text: string): boolean {
  return IDENTIFIER_PATTERN.test(text);
}

/**
 * Parses the identifier of a program; returns `undefined` if the text is not a valid identifier.
 *
 * @example
 * const program = parseProgramId(pathSegment);
 */
export function parseProgramId(text: string): ProgramId | undefined {
  return isIdentifier(text) ? (text as ProgramId) : undefined;
}
