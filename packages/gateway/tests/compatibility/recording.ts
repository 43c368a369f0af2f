/** A row of the store as one build wrote it. */
export interface RecordedRow {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
  readonly value: string;
}

/** A message to another instance and the replies to it, as one build wrote them. */
export interface RecordedCall {
  readonly path: string;
  readonly body: string;
  readonly replies: readonly string[];
}

/** What one build writes to the store and to other instances. */
export interface Recording {
  readonly rows: readonly RecordedRow[];
  readonly calls: readonly RecordedCall[];
  /** Path and content of a relayed request, and the outcomes that its reply may state. */
  readonly relay: {
    readonly path: string;
    readonly content: string;
    readonly outcomes: readonly string[];
  };
}

/**
 * Describes the fields of a JSON value, texts with their values and others with their types, so that
 * what two builds write can be compared although amounts and times differ. Entries of arrays and the second part of a text with a line feed
 * are left out: the first line of such a row is its head.
 *
 * @example
 * describeFields('{"spent":3,"holds":{}}'); // ['holds: object', 'spent: number']
 */
export function describeFields(text: string): readonly string[] {
  const [head = ''] = text.split('\n');
  return describeValue('', JSON.parse(head)).sort();
}

function describeValue(path: string, value: unknown): string[] {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return [`${path}: ${describeLeaf(value)}`];
  }
  const fields = Object.entries(value).flatMap(([name, field]) =>
    describeValue(path === '' ? name : `${path}.${name}`, field),
  );
  return path === '' ? fields : [`${path}: object`, ...fields];
}

function describeLeaf(value: unknown): string {
  if (typeof value === 'string') {
    return JSON.stringify(value);
  }
  return Array.isArray(value) ? 'array' : typeof value;
}
