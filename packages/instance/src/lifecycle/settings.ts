import type { AvailabilityZone, InstanceId, Result } from '@zincring/core';

import { Err, isIdentifier, Ok } from '@zincring/core';
import { z } from 'zod';

import type { SettingDescription } from './describeSettings.js';
import type { SettingsError } from './settingsErrors.js';

import { describeSchema } from './describeSettings.js';
import { describeSettingsIssues } from './settingsErrors.js';

const MAXIMUM_PORT = 65_535;

const address = z
  .string()
  .refine(isAddress, 'expected an IPv4 address and a port, such as 127.0.0.1:4000');
const milliseconds = z.number().int().positive();

const leaseSchema = z
  .strictObject({
    marginMilliseconds: milliseconds.default(500),
    renewMilliseconds: milliseconds.default(1_000),
    termMilliseconds: milliseconds.default(5_000),
  })
  .refine(
    lease => lease.renewMilliseconds + lease.marginMilliseconds < lease.termMilliseconds,
    'expected renewMilliseconds + marginMilliseconds below termMilliseconds',
  );

const upstreamSchema = z.strictObject({
  batchDelayMillisecondsPerToken: z.number().nonnegative().default(0.05),
  belowShareOverflow: z.number().int().nonnegative().default(2),
  callMilliseconds: milliseconds.default(1_000),
  maximumPrefixes: z.number().int().positive().default(100_000),
  maximumReleases: z.number().int().positive().default(10_000),
  maximumReplicas: z.number().int().positive().default(64),
  maximumWaiting: z.number().int().positive().default(10_000),
  maximumWaitingPerWorkspace: z.number().int().positive().default(2_000),
  prefillMillisecondsPerToken: z.number().positive().default(0.05),
  releaseRetryMilliseconds: milliseconds.default(1_000),
  reportLagMilliseconds: milliseconds.default(500),
  reportMilliseconds: milliseconds.default(1_000),
  retryReservePerSecond: z.number().nonnegative().default(1),
  retryShare: z.number().min(0).max(1).default(0.1),
  sharingMilliseconds: z.number().nonnegative().default(50),
  slotsPerReplica: z.number().int().positive().default(8),
  stallMilliseconds: milliseconds.default(20_000),
  suspicionMilliseconds: milliseconds.default(2_000),
  sweepMilliseconds: milliseconds.default(30_000),
  targetWaiting: z.number().int().nonnegative().default(2),
  zoneMilliseconds: milliseconds.default(5),
});

const limitsSchema = z.strictObject({
  loan: z
    .strictObject({
      renewMilliseconds: milliseconds.default(800),
      shareMilliseconds: milliseconds.default(2_000),
      tokenMilliseconds: milliseconds.default(500),
    })
    .refine(
      loan => loan.renewMilliseconds + loan.tokenMilliseconds < loan.shareMilliseconds,
      'expected renewMilliseconds + tokenMilliseconds below shareMilliseconds',
    )
    .prefault({}),
  maximumWaitMilliseconds: z.number().int().min(0).default(3_000),
  maximumWaiting: z.number().int().positive().default(1_000),
  seatCount: z
    .number()
    .int()
    .refine(count => count > 0 && (count & (count - 1)) === 0, 'expected a power of two')
    .default(64),
  seatLease: z
    .strictObject({
      marginMilliseconds: milliseconds.default(30_000),
      renewMilliseconds: milliseconds.default(60_000),
      termMilliseconds: milliseconds.default(1_800_000),
    })
    .refine(
      lease => lease.renewMilliseconds + lease.marginMilliseconds < lease.termMilliseconds,
      'expected renewMilliseconds + marginMilliseconds below termMilliseconds',
    )
    .prefault({}),
});

const fieldsSchema = z.strictObject({
  bodyDepthLimit: z.number().int().positive().default(64),
  bodyLimitBytes: z
    .number()
    .int()
    .positive()
    .default(4 * 1024 * 1024),
  callerAddress: address,
  configurationContactMilliseconds: milliseconds.default(4_000),
  configurationPollMilliseconds: milliseconds.default(1_000),
  drainNoticeMilliseconds: milliseconds.default(5_000),
  handoverWaitMilliseconds: milliseconds.default(15_000),
  headLimitBytes: z
    .number()
    .int()
    .min(1_024)
    .default(16 * 1024),
  heartbeatMilliseconds: milliseconds.default(500),
  instance: z
    .string()
    .refine(isIdentifier, 'expected an identifier')
    .transform(name => name as InstanceId),
  lease: leaseSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  logGroupMilliseconds: milliseconds.default(5),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  maximumConnections: z.number().int().positive().default(10_000),
  maximumKeyListeners: z.number().int().positive().default(100_000),
  maximumMailbox: z.number().int().positive().default(64),
  maximumPendingRecords: z.number().int().positive().default(10_000),
  metrics: z
    .strictObject({ host: z.ipv4(), port: z.number().int().min(1).max(MAXIMUM_PORT) })
    .optional(),
  operatorAddress: address,
  peerAddress: address,
  platform: z.strictObject({
    address,
    timeoutMilliseconds: milliseconds.default(2_000),
  }),
  readerTimeoutMilliseconds: milliseconds.default(60_000),
  senderTimeoutMilliseconds: milliseconds.default(30_000),
  shardCount: z
    .number()
    .int()
    .refine(count => count > 0 && (count & (count - 1)) === 0, 'expected a power of two')
    .default(256),
  suspectMilliseconds: milliseconds.default(2_000),
  upstreams: upstreamSchema.prefault({}),
  zone: z
    .string()
    .refine(isIdentifier, 'expected an identifier')
    .transform(name => name as AvailabilityZone),
});

/** Minimum number of configuration polls within `configurationContactMilliseconds`. */
const MINIMUM_POLLS_PER_CONTACT_TIMEOUT = 3;
/** Minimum number of heartbeat intervals within `suspectMilliseconds`. */
const MINIMUM_HEARTBEATS_PER_SUSPICION_TIMEOUT = 2;

/** Schema of all settings. A check across several fields runs only if each of them is valid. */
const settingsSchema = fieldsSchema
  .refine(
    settings =>
      settings.configurationContactMilliseconds >=
      settings.configurationPollMilliseconds * MINIMUM_POLLS_PER_CONTACT_TIMEOUT,
    {
      error: `expected at least ${MINIMUM_POLLS_PER_CONTACT_TIMEOUT} times configurationPollMilliseconds`,
      path: ['configurationContactMilliseconds'],
      when: areFieldsValid(['configurationContactMilliseconds', 'configurationPollMilliseconds']),
    },
  )
  .refine(
    settings =>
      settings.suspectMilliseconds >=
      settings.heartbeatMilliseconds * MINIMUM_HEARTBEATS_PER_SUSPICION_TIMEOUT,
    {
      error: `expected at least ${MINIMUM_HEARTBEATS_PER_SUSPICION_TIMEOUT} times heartbeatMilliseconds`,
      path: ['suspectMilliseconds'],
      when: areFieldsValid(['heartbeatMilliseconds', 'suspectMilliseconds']),
    },
  )
  .refine(settings => settings.peerAddress !== settings.callerAddress, {
    error: 'expected an address other than callerAddress',
    path: ['peerAddress'],
    when: areFieldsValid(['callerAddress', 'peerAddress']),
  })
  .refine(
    settings =>
      settings.operatorAddress !== settings.callerAddress &&
      settings.operatorAddress !== settings.peerAddress,
    {
      error: 'expected an address other than callerAddress and peerAddress',
      path: ['operatorAddress'],
      when: areFieldsValid(['callerAddress', 'operatorAddress', 'peerAddress']),
    },
  );

/** The settings of an instance; docs/operators/settings.md explains each. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Parses and validates settings in JSON.
 *
 * @returns the settings with defaults filled in, or all problems
 * @example
 * const settings = parseSettings(await readFile('settings.json', 'utf8'));
 */
export function parseSettings(text: string): Result<Settings, readonly SettingsError[]> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (failure) {
    return Err([{ message: (failure as Error).message, path: '$' }]);
  }
  const parsed = settingsSchema.safeParse(json);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  return Err(describeSettingsIssues(fieldsSchema, parsed.error.issues));
}

/** Lists every setting with its default, sorted by path as in docs/operators/settings.md. */
export function describeSettings(): readonly SettingDescription[] {
  return describeSchema(fieldsSchema);
}

type FieldName = keyof typeof fieldsSchema.shape;

/** Creates the condition of a check across fields: that each of the fields is valid. */
function areFieldsValid(names: readonly FieldName[]): (payload: z.core.ParsePayload) => boolean {
  return ({ issues }) =>
    issues.every(
      ({ code, path = [] }) =>
        code === 'unrecognized_keys' || (path.length > 0 && !names.some(name => name === path[0])),
    );
}

function isAddress(text: string): boolean {
  const match = /^([\d.]+):([1-9]\d{0,4})$/.exec(text);
  return match !== null && z.ipv4().safeParse(match[1]).success && Number(match[2]) <= MAXIMUM_PORT;
}
