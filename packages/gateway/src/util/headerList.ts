/**
 * Converts a flat list of header names and values to a map by lower-case name. Of several headers
 * with the same name, the last one counts.
 *
 * @example
 * toFields(['Host', 'agents.example']).get('host'); // 'agents.example'
 */
export function toFields(headers: readonly string[]): ReadonlyMap<string, string> {
  const fields = new Map<string, string>();
  for (let index = 0; index + 1 < headers.length; index += 2) {
    fields.set((headers[index] ?? '').toLowerCase(), headers[index + 1] ?? '');
  }
  return fields;
}

/**
 * Copies a flat list of header names and values without those of the given lower-case names.
 *
 * @example
 * withoutFields(['Host', 'agents.example', 'TE', 'trailers'], new Set(['te'])); // ['Host', 'agents.example']
 */
export function withoutFields(headers: readonly string[], names: ReadonlySet<string>): string[] {
  const remainingHeaders: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (!names.has(name.toLowerCase())) {
      remainingHeaders.push(name, headers[index + 1] ?? '');
    }
  }
  return remainingHeaders;
}
