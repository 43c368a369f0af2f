const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** What the current line holds so far: nothing, a carriage return, or any other text. */
type LineState = 'carriage-return' | 'empty' | 'text';

/**
 * Finds the next blank line in bytes that arrive in pieces. A head, and a body in chunks, end with one,
 * so bytes up to it hold the end of one message at most.
 *
 * @example
 * const finder = new BlankLineFinder();
 * finder.advance(Buffer.from('GET / HTTP/1.1\r\n\r\nGET /'), 65_536); // 18
 */
export class BlankLineFinder {
  private line: LineState = 'text';

  /** Returns the number of bytes up to and including the next blank line, or as many as are allowed. */
  public advance(bytes: Buffer, maximumBytes: number): number {
    const end = Math.min(bytes.length, maximumBytes);
    let position = 0;
    while (position < end) {
      if (this.line === 'text') {
        const lineEnd = bytes.indexOf(LINE_FEED, position);
        if (lineEnd === -1 || lineEnd >= end) {
          return end;
        }
        this.line = 'empty';
        position = lineEnd + 1;
        continue;
      }
      const byte = bytes[position];
      position++;
      if (byte === LINE_FEED) {
        this.line = 'text';
        return position;
      }
      this.line = this.line === 'empty' && byte === CARRIAGE_RETURN ? 'carriage-return' : 'text';
    }
    return end;
  }
}
