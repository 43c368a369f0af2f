import type { Brand } from './brand.js';

/** Name of a workspace, as the rules give it. */
export type WorkspaceName = Brand<string, 'WorkspaceName'>;
/** Identifier of a program: opaque, unique across the fleet. */
export type ProgramId = Brand<string, 'ProgramId'>;
/** Identifier of a call, chosen by the caller; it makes resends idempotent within its program. */
export type CallId = Brand<string, 'CallId'>;
/** Name of an instance, stable over restarts (from its settings). */
export type InstanceId = Brand<string, 'InstanceId'>;
/** One run of one instance: the instance id and a random suffix. */
export type IncarnationId = Brand<string, 'IncarnationId'>;
/** Number of a shard, from 0 to the shard count less one. */
export type ShardId = Brand<number, 'ShardId'>;
/** Fencing number of a shard lease; it grows with every change of holder. */
export type Epoch = Brand<number, 'Epoch'>;
/** Identifier of one upstream replica. */
export type UpstreamId = Brand<string, 'UpstreamId'>;
/** Name of a service that upstream replicas offer. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** Name of an availability zone. */
export type AvailabilityZone = Brand<string, 'AvailabilityZone'>;
/** Hexadecimal SHA-256 of a caller's key. */
export type KeyHash = Brand<string, 'KeyHash'>;
/** Number of a configuration version; versions grow by one with every accepted change. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>;
/** Hexadecimal SHA-256 that stands for a program's whole history up to one turn. */
export type HistoryDigest = Brand<string, 'HistoryDigest'>;

/** Characters and length accepted in a name or identifier that comes from outside. */
const IDENTIFIER_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;

/**
 * Tells whether text from outside may serve as a name or identifier.
 *
 * @example
 * isIdentifier('minutes-llm'); // true
 * isIdentifier('a b'); // false
 */
export function isIdentifier(text: string): boolean {
  return IDENTIFIER_PATTERN.test(text);
}

/**
 * Parses the identifier of a program; `undefined` when the text is not one.
 *
 * @example
 * const program = parseProgramId(pathSegment);
 */
export function parseProgramId(text: string): ProgramId | undefined {
  return isIdentifier(text) ? (text as ProgramId) : undefined;
}
