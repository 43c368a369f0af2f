import type { CallFrame as CallFrameMessage } from '@zincring/protocol';

import type { CallFrame } from '../programs/programMessages.js';

import { HomeUnreachableError } from './homeUnreachableError.js';
import { frameFromMessage } from './peerConversions.js';

/**
 * Checks that the frames of one stream are contiguous by their offsets. Drops bytes that were
 * received before and rejects a gap.
 */
export class FrameSequence {
  public constructor(private expectedOffset: number) {}

  /**
   * Accepts the next frame; throws {@link HomeUnreachableError} on a gap.
   *
   * @returns the frame without repeated bytes; `undefined` when all of them are repeated
   */
  public accept(message: CallFrameMessage): CallFrame | undefined {
    const frame = frameFromMessage(message);
    const offset = Number(message.offset);
    if (frame.kind === 'failed') {
      return frame;
    }
    if (offset > this.expectedOffset || (frame.kind === 'closed' && offset < this.expectedOffset)) {
      throw new HomeUnreachableError(true, 'a part of the answer is missing');
    }
    if (frame.kind === 'closed') {
      return frame;
    }
    const data = frame.data.subarray(this.expectedOffset - offset);
    if (data.length === 0) {
      return undefined;
    }
    const newFrame: CallFrame = { data, kind: 'data', offset: this.expectedOffset };
    this.expectedOffset += data.length;
    return newFrame;
  }
}
