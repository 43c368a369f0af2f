/** Where text goes. */
export interface TextSink {
  write(text: string): unknown;
}

/** How to write. */
export interface OutputOptions {
  readonly standard: TextSink;
  readonly errors: TextSink;
  /** Whether to write JSON for scripts instead of text for people. */
  readonly isJson: boolean;
}

/** A result in both forms. */
export interface Report {
  /** For scripts. */
  readonly json: unknown;
  /** For people, without a line break at the end. */
  readonly text: string;
}

/** Writes the results of a command: one JSON value, or text. */
export class Output {
  public constructor(private readonly options: OutputOptions) {}

  /** Writes the result. */
  public report({ json, text }: Report): void {
    const content = this.options.isJson ? JSON.stringify(json) : text;
    this.options.standard.write(content === '' ? '' : `${content}\n`);
  }

  /** Writes why the command did not succeed. */
  public fail({ json, text }: Report): void {
    this.options.errors.write(`${this.options.isJson ? JSON.stringify(json) : text}\n`);
  }
}

/**
 * Lays out rows in columns.
 *
 * @example
 * formatTable(['instance', 'ready'], [['entry-1', 'yes']]);
 */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map(row => row[column]?.length ?? 0)),
  );
  const line = (cells: readonly string[]): string =>
    cells
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return [line(head), ...rows.map(line)].join('\n');
}
