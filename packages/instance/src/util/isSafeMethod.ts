const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Tells whether an HTTP method has no effects by definition, so that it may be repeated.
 *
 * @example
 * isSafeMethod('GET'); // true
 */
export function isSafeMethod(method: string): boolean {
  return SAFE_METHODS.has(method);
}
