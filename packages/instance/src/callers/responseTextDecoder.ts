/** Text decoded from a part of a response body. */
export interface ResponseTextChunk {
  /** Number of body bytes before the text. */
  readonly offset: number;
  readonly text: string;
}

const CONTINUATION_MASK = 0xc0;
const CONTINUATION_PREFIX = 0x80;
const MAXIMUM_CHARACTER_BYTES = 4;

/**
 * Incremental UTF-8 decoder for a response body. Bytes of an incomplete character are buffered
 * until the remaining bytes arrive.
 *
 * @example
 * const decoder = new ResponseTextDecoder();
 * decoder.decode(0, Buffer.from([0xc3])); // undefined
 * decoder.decode(1, Buffer.from([0xa9])); // { offset: 0, text: 'é' }
 */
export class ResponseTextDecoder {
  private pendingBytes: Uint8Array = new Uint8Array();
  private pendingOffset = 0;

  /** Decodes the next bytes and returns the characters that are complete. */
  public decode(offset: number, data: Uint8Array): ResponseTextChunk | undefined {
    const start = this.pendingBytes.length === 0 ? offset : this.pendingOffset;
    const bytes = this.pendingBytes.length === 0 ? data : Buffer.concat([this.pendingBytes, data]);
    const completeLength = bytes.length - incompleteSuffixLength(bytes);
    this.pendingBytes = bytes.subarray(completeLength);
    this.pendingOffset = start + completeLength;
    return completeLength === 0
      ? undefined
      : { offset: start, text: decodeUtf8(bytes.subarray(0, completeLength)) };
  }

  /**
   * Decodes the bytes that are still buffered at the end of the body, which form no complete
   * character.
   */
  public finish(): ResponseTextChunk | undefined {
    const { pendingBytes } = this;
    this.pendingBytes = new Uint8Array();
    return pendingBytes.length === 0
      ? undefined
      : { offset: this.pendingOffset, text: decodeUtf8(pendingBytes) };
  }
}

function decodeUtf8(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8');
}

/** Number of bytes at the end that belong to an incomplete character. */
function incompleteSuffixLength(bytes: Uint8Array): number {
  const maximumSuffixLength = Math.min(MAXIMUM_CHARACTER_BYTES - 1, bytes.length);
  for (let length = 1; length <= maximumSuffixLength; length++) {
    const byte = bytes[bytes.length - length] ?? 0;
    if ((byte & CONTINUATION_MASK) !== CONTINUATION_PREFIX) {
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
