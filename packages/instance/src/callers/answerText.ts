/** Text of an answer and where it stands among the answer's bytes. */
export interface AnswerTextPart {
  /** Number of answer bytes before the text. */
  readonly offset: number;
  readonly text: string;
}

const CONTINUATION_MASK = 0xc0;
const CONTINUATION = 0x80;
const LONGEST_CHARACTER_BYTES = 4;

/**
 * Turns the bytes of an answer into text. Bytes of a character that is not whole yet are kept back
 * until the rest has come.
 *
 * @example
 * const text = new AnswerText();
 * text.append(0, Buffer.from([0xc3])); // undefined
 * text.append(1, Buffer.from([0xa9])); // { offset: 0, text: 'é' }
 */
export class AnswerText {
  private rest: Uint8Array = new Uint8Array();
  private restOffset = 0;

  /** Takes the next bytes; gives the characters that are whole now. */
  public append(offset: number, data: Uint8Array): AnswerTextPart | undefined {
    const start = this.rest.length === 0 ? offset : this.restOffset;
    const bytes = this.rest.length === 0 ? data : Buffer.concat([this.rest, data]);
    const whole = bytes.length - unfinishedLength(bytes);
    this.rest = bytes.subarray(whole);
    this.restOffset = start + whole;
    return whole === 0 ? undefined : { offset: start, text: decode(bytes.subarray(0, whole)) };
  }

  /** Gives what is left at the end of the answer, which is not a whole character. */
  public finish(): AnswerTextPart | undefined {
    const { rest } = this;
    this.rest = new Uint8Array();
    return rest.length === 0 ? undefined : { offset: this.restOffset, text: decode(rest) };
  }
}

function decode(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8');
}

/** Bytes at the end that begin a character without finishing it. */
function unfinishedLength(bytes: Uint8Array): number {
  const longest = Math.min(LONGEST_CHARACTER_BYTES - 1, bytes.length);
  for (let length = 1; length <= longest; length++) {
    const byte = bytes[bytes.length - length] ?? 0;
    if ((byte & CONTINUATION_MASK) !== CONTINUATION) {
      return length < characterLength(byte) ? length : 0;
    }
  }
  return 0;
}

function characterLength(leadByte: number): number {
  if (leadByte >= 0xf0 && leadByte <= 0xf4) {
    return 4;
  }
  if (leadByte >= 0xe0) {
    return leadByte <= 0xef ? 3 : 1;
  }
  return leadByte >= 0xc2 ? 2 : 1;
}
