/**
 * The headers of a flat list of names and values by their names in lower case; the last of several
 * with the same name.
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
 * A flat list of headers without those of some names, which are given in lower case.
 *
 * @example
 * withoutFields(['Host', 'agents.example', 'TE', 'trailers'], new Set(['te'])); // ['Host', 'agents.example']
 */
export function withoutFields(headers: readonly string[], names: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (!names.has(name.toLowerCase())) {
      kept.push(name, headers[index + 1] ?? '');
    }
  }
  return kept;
}
