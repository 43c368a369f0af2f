/** One whole event of a stream. */
export interface StreamEvent {
  /** The bytes of the event, its closing blank line included. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** The text of the data lines, joined by line feeds. */
  readonly data: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Cuts an event stream into whole events, whatever the chunks in which it arrives.
 *
 * @example
 * for (const event of splitter.push(chunk)) { forward(event.bytes); }
 */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);
  /** Where the line that is not yet complete begins. */
  private lineStart = 0;
  private scanned = 0;

  /** Bytes of an event that is not yet complete. */
  public get pendingBytes(): number {
    return this.pending.length;
  }

  /** Takes in a chunk and returns the events that it completes. */
  public push(chunk: Buffer): StreamEvent[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: StreamEvent[] = [];
    for (let end = this.findEnd(); end !== undefined; end = this.findEnd()) {
      events.push(parseEvent(this.pending.subarray(0, end)));
      this.pending = this.pending.subarray(end);
      this.lineStart = 0;
      this.scanned = 0;
    }
    return events;
  }

  private findEnd(): number | undefined {
    for (;;) {
      const feed = this.pending.indexOf(LINE_FEED, this.scanned);
      if (feed === -1) {
        this.scanned = this.pending.length;
        return undefined;
      }
      const length = feed - this.lineStart;
      const isBlank =
        length === 0 || (length === 1 && this.pending[this.lineStart] === CARRIAGE_RETURN);
      this.lineStart = feed + 1;
      this.scanned = feed + 1;
      if (isBlank) {
        return feed + 1;
      }
    }
  }
}

function parseEvent(bytes: Buffer): StreamEvent {
  let id: string | undefined;
  const data: Buffer[] = [];
  let start = 0;
  while (start < bytes.length) {
    const feed = bytes.indexOf(LINE_FEED, start);
    const line = trimReturn(bytes.subarray(start, feed));
    start = feed + 1;
    const field = fieldOf(line);
    if (field?.name === 'id') {
      id = field.value.toString();
    } else if (field?.name === 'data') {
      data.push(field.value);
    }
  }
  return { bytes, data: joinLines(data), id };
}

function trimReturn(line: Buffer): Buffer {
  return line.at(-1) === CARRIAGE_RETURN ? line.subarray(0, -1) : line;
}

function fieldOf(line: Buffer): { readonly name: string; readonly value: Buffer } | undefined {
  const colon = line.indexOf(':');
  if (colon <= 0) {
    return undefined;
  }
  const name = line.subarray(0, colon).toString();
  const hasSpace = line[colon + 1] === 0x20;
  return { name, value: line.subarray(colon + (hasSpace ? 2 : 1)) };
}

function joinLines(lines: readonly Buffer[]): Buffer {
  const [first] = lines;
  if (lines.length === 1 && first !== undefined) {
    return first;
  }
  return Buffer.concat(
    lines.flatMap((line, index) => (index === 0 ? [line] : [Buffer.from([LINE_FEED]), line])),
  );
}
