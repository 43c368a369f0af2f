import type { z } from 'zod';

import { findNearestWord } from '@zincring/rules';

import { knownKeysAt } from './describeSettings.js';

/** A problem with a setting. */
export interface SettingsError {
  /** JSON path of the setting, such as `$.lease.termMilliseconds`. */
  readonly path: string;
  readonly message: string;
}

/**
 * Describes the problems that validation found, sorted by path; for an unknown key, the most
 * similar known key is suggested.
 */
export function describeSettingsIssues(
  schema: z.ZodType,
  issues: readonly z.core.$ZodIssue[],
): readonly SettingsError[] {
  return issues
    .flatMap(issue => describeIssue(schema, issue))
    .sort((left, right) => (left.path < right.path ? -1 : 1));
}

function describeIssue(schema: z.ZodType, issue: z.core.$ZodIssue): readonly SettingsError[] {
  const path = toJsonPath(issue.path);
  if (issue.code !== 'unrecognized_keys') {
    return [{ message: issue.message, path }];
  }
  const names = knownKeysAt(schema, issue.path);
  return issue.keys.map(key => {
    const nearest = findNearestWord(key, names);
    const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
    return { message: `unknown setting${hint}`, path: toJsonPath([...issue.path, key]) };
  });
}

function toJsonPath(path: readonly PropertyKey[]): string {
  return ['$', ...path.map(String)].join('.');
}
