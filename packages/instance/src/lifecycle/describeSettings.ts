import type { z } from 'zod';

import { toJSONSchema } from 'zod';

/** One setting, as documented for operators. */
export interface SettingDescription {
  /** Path of the setting, such as `lease.termMilliseconds`. */
  readonly path: string;
  /** Default value as JSON; `undefined` if there is none. */
  readonly defaultJson: string | undefined;
}

/** Subset of a JSON schema: the known keys and their defaults. */
interface ObjectSchema {
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, ObjectSchema>>;
}

/**
 * Lists the settings of a schema, in the order of their paths.
 *
 * @example
 * describeSchema(schema); // [{ defaultJson: '256', path: 'shardCount' }, …]
 */
export function describeSchema(schema: z.ZodType): readonly SettingDescription[] {
  return describeFields(readSchema(schema), '').sort((left, right) =>
    left.path < right.path ? -1 : 1,
  );
}

/** Lists the keys that a schema allows at a path. */
export function knownKeysAt(schema: z.ZodType, path: readonly PropertyKey[]): readonly string[] {
  let schemaAtPath: ObjectSchema | undefined = readSchema(schema);
  for (const key of path) {
    schemaAtPath = schemaAtPath?.properties?.[String(key)];
  }
  return Object.keys(schemaAtPath?.properties ?? {});
}

function readSchema(schema: z.ZodType): ObjectSchema {
  return toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as ObjectSchema;
}

function describeFields(schema: ObjectSchema, prefix: string): SettingDescription[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const path = `${prefix}${name}`;
    return field.properties === undefined
      ? [{ defaultJson: formatDefault(field), path }]
      : describeFields(field, `${path}.`);
  });
}

function formatDefault(field: ObjectSchema): string | undefined {
  return field.default === undefined ? undefined : JSON.stringify(field.default);
}
