import { BodyContent } from '@zincring/core';

/** One complete event of a server-sent event stream. */
export interface StreamEvent {
  readonly id: string | undefined;
  /** Values of the data lines, joined by line feeds. */
  readonly data: Buffer;
}

/** Events of a stream that were completed together. */
export interface EventGroup {
  /** Bytes of the events, and of the blank lines and comments around them, which are no events. */
  readonly bytes: Buffer;
  readonly events: readonly StreamEvent[];
  /** Whether other text follows that ends with a blank line, such as the head of another response. */
  readonly hasOtherText: boolean;
}

/** A block of lines up to a blank one. */
interface Block {
  readonly kind: 'event' | 'filler' | 'other';
  readonly event: StreamEvent;
}

/** Names of the fields of events. */
const FIELD_NAMES: ReadonlySet<string> = new Set(['data', 'event', 'id', 'retry']);
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const NOTHING = Buffer.alloc(0);

/**
 * Splits a server-sent event stream into complete events, independently of the chunks in which it
 * arrives. Events that arrive together stay together, since each piece that is forwarded takes far more memory
 * than a small event itself.
 *
 * @example
 * const { bytes, events } = splitter.push(chunk);
 */
export class EventSplitter {
  /** Beginning of an incomplete block. */
  private pending = new BodyContent();
  private pendingLength = 0;
  /** Length of the incomplete line in the pending bytes. */
  private lineLength = 0;
  private lastByte = 0;

  /** Number of buffered bytes of the incomplete event. */
  public get pendingBytes(): number {
    return this.pendingLength;
  }

  /** Adds a chunk and returns what it completes. */
  public push(chunk: Buffer): EventGroup {
    const events: StreamEvent[] = [];
    const first = this.findBlockEnd(chunk, 0);
    if (first === undefined) {
      this.keep(chunk);
      return { bytes: NOTHING, events, hasOtherText: false };
    }
    const bytes = this.takePending(chunk);
    const offset = bytes.length - chunk.length;
    let start = 0;
    let end: number | undefined = first + offset;
    while (end !== undefined) {
      const { event, kind } = parseBlock(bytes.subarray(start, end));
      if (kind === 'other') {
        return { bytes: bytes.subarray(0, start), events, hasOtherText: true };
      }
      if (kind === 'event') {
        events.push(event);
      }
      start = end;
      end = this.findBlockEnd(bytes, start);
    }
    this.keep(bytes.subarray(start));
    return { bytes: bytes.subarray(0, start), events, hasOtherText: false };
  }

  /** Returns the offset behind the next blank line; `undefined` if there is none. */
  private findBlockEnd(bytes: Buffer, start: number): number | undefined {
    for (let lineStart = start; ;) {
      const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
      if (lineEnd === -1) {
        this.lineLength += bytes.length - lineStart;
        return undefined;
      }
      const length = this.lineLength + lineEnd - lineStart;
      const lastByte = lineEnd > lineStart ? bytes[lineEnd - 1] : this.lastByte;
      this.lineLength = 0;
      lineStart = lineEnd + 1;
      if (length === 0 || (length === 1 && lastByte === CARRIAGE_RETURN)) {
        return lineStart;
      }
    }
  }

  private keep(bytes: Buffer): void {
    if (bytes.length > 0) {
      this.pending.append(bytes);
      this.pendingLength += bytes.length;
      this.lastByte = bytes.at(-1) ?? 0;
    }
  }

  /** Returns the pending bytes together with the chunk; none are pending afterwards. */
  private takePending(chunk: Buffer): Buffer {
    if (this.pendingLength === 0) {
      return chunk;
    }
    this.pending.append(chunk);
    const bytes = this.pending.complete();
    this.pending = new BodyContent();
    this.pendingLength = 0;
    return bytes;
  }
}

function parseBlock(bytes: Buffer): Block {
  let id: string | undefined;
  const data: Buffer[] = [];
  let hasField = false;
  let isFiller = true;
  let start = 0;
  while (start < bytes.length) {
    const lineEnd = bytes.indexOf(LINE_FEED, start);
    const line = trimCarriageReturn(bytes.subarray(start, lineEnd));
    start = lineEnd + 1;
    if (line.length === 0 || line[0] === COLON) {
      continue;
    }
    const { name, value } = parseField(line);
    isFiller = false;
    hasField ||= FIELD_NAMES.has(name);
    if (name === 'id') {
      id = value.toString();
    } else if (name === 'data') {
      data.push(value);
    }
  }
  const event = { data: joinLines(data), id };
  if (isFiller) {
    return { event, kind: 'filler' };
  }
  return { event, kind: hasField ? 'event' : 'other' };
}

function trimCarriageReturn(line: Buffer): Buffer {
  return line.at(-1) === CARRIAGE_RETURN ? line.subarray(0, -1) : line;
}

/** Parses a line; one without a colon is a name without a value. */
function parseField(line: Buffer): { readonly name: string; readonly value: Buffer } {
  const colon = line.indexOf(':');
  if (colon === -1) {
    return { name: line.toString(), value: Buffer.alloc(0) };
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
