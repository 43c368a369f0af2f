/** Destination of text output. */
export interface TextSink {
  write(text: string): unknown;
}

/** Options of {@link Output}. */
export interface OutputOptions {
  readonly standard: TextSink;
  readonly errors: TextSink;
  /** Whether to write JSON for scripts instead of text for people. */
  readonly isJson: boolean;
}

/** Result of a command in both output formats. */
export interface Report {
  /** JSON value for scripts. */
  readonly json: unknown;
  /** Text for people, without a trailing line break. */
  readonly text: string;
}

/** Writes the result of a command as one JSON value or as text. */
export class Output {
  public constructor(private readonly options: OutputOptions) {}

  /** Writes the result of a successful command. */
  public report({ json, text }: Report): void {
    const content = this.options.isJson ? JSON.stringify(json) : text;
    this.options.standard.write(content === '' ? '' : `${content}\n`);
  }

  /** Writes the reason why the command failed. */
  public fail({ json, text }: Report): void {
    this.options.errors.write(`${this.options.isJson ? JSON.stringify(json) : text}\n`);
  }
}

/**
 * Formats rows as aligned columns under a header.
 *
 * @example
 * formatTable(['instance', 'ready'], [['entry-1', 'yes']]);
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map(row => row[column]?.length ?? 0)),
  );
  const formatLine = (cells: readonly string[]): string =>
    cells
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return [formatLine(header), ...rows.map(formatLine)].join('\n');
}
