import type { IncomingMessage } from 'node:http';

import type { TimerService } from '../time/timerService.js';

/** Bounds of the body that is read to keep its connection. */
const MAXIMUM_DISCARDED = { bytes: 65_536, milliseconds: 1_000 };

/**
 * Reads and discards the rest of a body, so that its connection can be used again. A body that is
 * larger than 64 KB or takes longer than a second may never end, so its connection is closed.
 *
 * @example
 * discardBody(timers, response);
 */
export function discardBody(timers: TimerService, message: IncomingMessage): void {
  let receivedBytes = 0;
  const timeout = timers.after(MAXIMUM_DISCARDED.milliseconds, () => {
    message.destroy();
  });
  message.on('data', (chunk: Buffer | string) => {
    receivedBytes += chunk.length;
    if (receivedBytes > MAXIMUM_DISCARDED.bytes) {
      message.destroy();
    }
  });
  message.once('close', () => {
    timeout.stop();
  });
}
