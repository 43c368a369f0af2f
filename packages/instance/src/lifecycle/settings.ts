import type { AvailabilityZone, InstanceId, Result } from '@zincring/core';

import { Err, isIdentifier, Ok } from '@zincring/core';
import { z } from 'zod';

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected an IP number and a port, as 127.0.0.1:4000');
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

const settingsSchema = z.strictObject({
  bodyLimitBytes: z
    .number()
    .int()
    .positive()
    .default(4 * 1024 * 1024),
  callerAddress: address,
  configurationPollMilliseconds: milliseconds.default(1_000),
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
  maximumMailbox: z.number().int().positive().default(64),
  maximumPendingRecords: z.number().int().positive().default(10_000),
  metrics: z.strictObject({ host: z.ipv4(), port: z.number().int().positive() }).optional(),
  operatorAddress: address,
  peerAddress: address,
  platform: z.strictObject({
    address,
    timeoutMilliseconds: milliseconds.default(2_000),
  }),
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

/** The settings of an instance; docs/OPERATORS.md explains each. */
export type Settings = z.infer<typeof settingsSchema>;

/** A problem with the settings and where it stands. */
export interface SettingsError {
  /** JSON path, such as `$.lease.termMilliseconds`. */
  readonly path: string;
  readonly message: string;
}

/**
 * Checks settings in JSON.
 *
 * @returns the settings with their defaults, or every problem at once
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
  return Err(
    parsed.error.issues.map(issue => ({
      message: issue.message,
      path: ['$', ...issue.path.map(String)].join('.'),
    })),
  );
}
