import type { z } from 'zod';

import { nearestWord } from '@zincring/rules';
import { toJSONSchema } from 'zod';

/** A problem with the settings and where it stands. */
export interface SettingsError {
  /** JSON path, such as `$.lease.termMilliseconds`. */
  readonly path: string;
  readonly message: string;
}

/** The part of a JSON schema that names the known keys. */
interface ObjectSchema {
  readonly properties?: Readonly<Record<string, ObjectSchema>>;
}

/**
 * Describes what is wrong with settings, in the order of their paths; an unknown key comes with
 * the nearest known one.
 */
export function describeSettingsIssues(
  schema: z.ZodType,
  issues: readonly z.core.$ZodIssue[],
): readonly SettingsError[] {
  const known = toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as ObjectSchema;
  return issues
    .flatMap(issue => describeIssue(known, issue))
    .sort((left, right) => (left.path < right.path ? -1 : 1));
}

function describeIssue(known: ObjectSchema, issue: z.core.$ZodIssue): readonly SettingsError[] {
  const path = toJsonPath(issue.path);
  if (issue.code !== 'unrecognized_keys') {
    return [{ message: issue.message, path }];
  }
  const names = knownKeysAt(known, issue.path);
  return issue.keys.map(key => {
    const nearest = nearestWord(key, names);
    const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
    return { message: `unknown setting${hint}`, path: toJsonPath([...issue.path, key]) };
  });
}

function knownKeysAt(schema: ObjectSchema, path: readonly PropertyKey[]): readonly string[] {
  let current: ObjectSchema | undefined = schema;
  for (const step of path) {
    current = current?.properties?.[String(step)];
  }
  return Object.keys(current?.properties ?? {});
}

function toJsonPath(path: readonly PropertyKey[]): string {
  return ['$', ...path.map(String)].join('.');
}
