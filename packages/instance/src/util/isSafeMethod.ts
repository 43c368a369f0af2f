const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Checks whether HTTP defines a method as safe; a request with a safe method may be repeated.
 *
 * @example
 * isSafeMethod('GET'); // true
 */
export function isSafeMethod(method: string): boolean {
  return SAFE_METHODS.has(method);
}
