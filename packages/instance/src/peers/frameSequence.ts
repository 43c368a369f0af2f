import type { CallFrame as CallFrameMessage } from '@zincring/protocol';

import type { CallFrame } from '../programs/programMessages.js';

import { HomeUnreachableError } from './homeUnreachableError.js';
import { frameFromMessage } from './peerConversions.js';

/**
 * Checks that the frames of one stream follow each other by their offsets. A repeated part is
 * dropped; a gap breaks the stream.
 */
export class FrameSequence {
  public constructor(private expected: number) {}

  /**
   * Takes the next frame.
   *
   * @returns `undefined` for what was there before; throws {@link HomeUnreachableError} on a gap
   */
  public accept(message: CallFrameMessage): CallFrame | undefined {
    const frame = frameFromMessage(message);
    const offset = Number(message.offset);
    if (frame.kind === 'failed') {
      return frame;
    }
    if (offset > this.expected || (frame.kind === 'closed' && offset < this.expected)) {
      throw new HomeUnreachableError(true, 'a part of the answer is missing');
    }
    if (frame.kind === 'closed') {
      return frame;
    }
    const data = frame.data.subarray(this.expected - offset);
    if (data.length === 0) {
      return undefined;
    }
    const part: CallFrame = { data, kind: 'data', offset: this.expected };
    this.expected += data.length;
    return part;
  }
}
