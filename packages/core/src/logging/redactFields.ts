import { REDACTED, redactSecrets } from './redactSecrets.js';

/** Fields whose values are redacted at the top level of a log line and one level below. */
const secretFields: ReadonlySet<string> = new Set([
  'answer',
  'authorization',
  'body',
  'bearer',
  'cookie',
  'headers',
  'history',
  'input',
  'key',
  'password',
  'payload',
  'prompt',
  'secret',
  'token',
]);

/**
 * Copies the fields of a log line without secrets: values of fields with the name of a secret, also one level
 * below, and keys inside texts.
 *
 * @example
 * redactFields({ input: 'a prompt', program: 'p' }); // { input: '[redacted]', program: 'p' }
 */
export function redactFields(fields: object): Record<string, unknown> {
  return redactValues(fields, value =>
    typeof value === 'object' && value !== null && !Array.isArray(value)
      ? redactValues(value, nested => nested)
      : value,
  );
}

function redactValues(
  fields: object,
  redactOther: (value: unknown) => unknown,
): Record<string, unknown> {
  const redacted: Record<string, unknown> = {};
  for (const [name, value] of Object.entries(fields) as [string, unknown][]) {
    if (value !== undefined && secretFields.has(name)) {
      redacted[name] = REDACTED;
    } else {
      redacted[name] = typeof value === 'string' ? redactSecrets(value) : redactOther(value);
    }
  }
  return redacted;
}
