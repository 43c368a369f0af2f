import type { z } from 'zod';

import { toJSONSchema } from 'zod';

/** One setting, for the operators' page. */
export interface SettingDescription {
  /** Where it stands, such as `lease.termMilliseconds`. */
  readonly path: string;
  /** Its default as JSON; `undefined` when there is none. */
  readonly fallback: string | undefined;
}

/** The part of a JSON schema that names the known keys. */
interface ObjectSchema {
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, ObjectSchema>>;
}

/**
 * Lists the settings of a schema, in the order of their paths.
 *
 * @example
 * describeSchema(schema); // [{ fallback: '256', path: 'shardCount' }, …]
 */
export function describeSchema(schema: z.ZodType): readonly SettingDescription[] {
  return describeFields(readSchema(schema), '').sort((left, right) =>
    left.path < right.path ? -1 : 1,
  );
}

/** Names of the keys that a schema knows at a path. */
export function knownKeysAt(schema: z.ZodType, path: readonly PropertyKey[]): readonly string[] {
  let current: ObjectSchema | undefined = readSchema(schema);
  for (const step of path) {
    current = current?.properties?.[String(step)];
  }
  return Object.keys(current?.properties ?? {});
}

function readSchema(schema: z.ZodType): ObjectSchema {
  return toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as ObjectSchema;
}

function describeFields(schema: ObjectSchema, prefix: string): SettingDescription[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const path = `${prefix}${name}`;
    return field.properties === undefined
      ? [{ fallback: describeDefault(field), path }]
      : describeFields(field, `${path}.`);
  });
}

function describeDefault(field: ObjectSchema): string | undefined {
  return field.default === undefined ? undefined : JSON.stringify(field.default);
}
