/** Fields of a JSON object of any shape. */
export type JsonFields = Readonly<Record<string, unknown>>;

/**
 * Returns the fields of a JSON value; none for a value that is no object.
 *
 * @example
 * const { expiresAt } = toFields(JSON.parse(text));
 */
export function toFields(value: unknown): JsonFields {
  return typeof value === 'object' && value !== null ? (value as JsonFields) : {};
}

/**
 * Whether a JSON value is a number to calculate with; `1e999` is infinite.
 *
 * @example
 * isNumber(JSON.parse('1e999')); // false
 */
export function isNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

/**
 * Whether a JSON value is a list of texts.
 *
 * @example
 * isTextList(['v1', 'v2']); // true
 */
export function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every(item => typeof item === 'string');
}
