import type { Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';
import { findNearestWord } from '@zincring/rules';
import { z } from 'zod';

const DEFAULT_TIMEOUT_MILLISECONDS = 5_000;
const ADDRESS_PATTERN = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

const platformSchema = z.strictObject({
  address: z.string().regex(ADDRESS_PATTERN, 'expected an IP address and a port, 127.0.0.1:4100'),
  timeoutMilliseconds: z.number().int().positive().default(DEFAULT_TIMEOUT_MILLISECONDS),
});
const settingsSchema = z.strictObject({ platform: platformSchema });

/** Settings of zincringctl: address and timeout of the platform. */
export type ControlSettings = z.infer<typeof settingsSchema>;

/**
 * Validates the settings of zincringctl, which come from a JSON file or the command line.
 *
 * @returns the settings, or all problems with their JSON paths
 * @example
 * parseControlSettings({ platform: { address: '127.0.0.1:4100' } });
 */
export function parseControlSettings(value: unknown): Result<ControlSettings, readonly string[]> {
  const parsed = settingsSchema.safeParse(value);
  return parsed.success ? Ok(parsed.data) : Err(parsed.error.issues.flatMap(describeIssue));
}

function describeIssue(issue: z.core.$ZodIssue): readonly string[] {
  const path = ['$', ...issue.path.map(String)].join('.');
  if (issue.code !== 'unrecognized_keys') {
    return [`${path}: ${issue.message}`];
  }
  const shape = issue.path.length === 0 ? settingsSchema.shape : platformSchema.shape;
  return issue.keys.map(key => {
    const nearest = findNearestWord(key, Object.keys(shape));
    const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
    return `${path}.${key}: unknown setting${hint}`;
  });
}
