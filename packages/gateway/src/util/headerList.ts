/**
 * Converts a flat list of header names and values to a map by lower-case name. Of several headers
 * with the same name, the last one counts.
 *
 * @example
 * toHeaderMap(['Host', 'agents.example']).get('host'); // 'agents.example'
 */
export function toHeaderMap(headers: readonly string[]): ReadonlyMap<string, string> {
  const headerMap = new Map<string, string>();
  for (let index = 0; index + 1 < headers.length; index += 2) {
    headerMap.set((headers[index] ?? '').toLowerCase(), headers[index + 1] ?? '');
  }
  return headerMap;
}

/**
 * Finds the value of a header that all headers with its lower-case name agree on; `undefined` if there is none.
 *
 * @example
 * findAgreedValue(['Request-Id', 'a', 'Request-Id', 'b'], 'request-id'); // undefined
 */
export function findAgreedValue(headers: readonly string[], name: string): string | undefined {
  const values = new Set<string>();
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) {
      values.add(headers[index + 1] ?? '');
    }
  }
  const [value] = values;
  return values.size === 1 ? value : undefined;
}

/**
 * Copies a flat list of header names and values without those of the given lower-case names.
 *
 * @example
 * withoutHeaders(['Host', 'agents.example', 'TE', 'trailers'], new Set(['te'])); // ['Host', 'agents.example']
 */
export function withoutHeaders(headers: readonly string[], names: ReadonlySet<string>): string[] {
  const remainingHeaders: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (!names.has(name.toLowerCase())) {
      remainingHeaders.push(name, headers[index + 1] ?? '');
    }
  }
  return remainingHeaders;
}
