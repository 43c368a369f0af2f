const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Checks whether an HTTP method is safe by definition, so that a request may be repeated.
 *
 * @example
 * isSafeMethod('GET'); // true
 */
export function isSafeMethod(method: string): boolean {
  return SAFE_METHODS.has(method);
}
