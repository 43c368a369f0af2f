import type { TimerService } from '@zincring/core';

import { Socket } from 'node:net';

import type { ReplicaEntry } from '../replica.js';

/** Timeout of a probe, in milliseconds: that of a connection for a request. */
const PROBE_TIMEOUT_MILLISECONDS = 400;

/**
 * Opens a connection to a replica and closes it; returns whether it opened in time; never throws.
 *
 * @example
 * await probeConnection(timers, entry); // true
 */
export async function probeConnection(
  timers: TimerService,
  { host, port }: ReplicaEntry,
): Promise<boolean> {
  return await new Promise(resolve => {
    const socket = new Socket();
    const finish = (isOpen: boolean): void => {
      timeout.stop();
      socket.destroy();
      resolve(isOpen);
    };
    const timeout = timers.after(PROBE_TIMEOUT_MILLISECONDS, () => {
      finish(false);
    });
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('error', () => {
      finish(false);
    });
    try {
      socket.connect(port, host);
    } catch {
      // Node.js throws for an address to which no connection can be opened.
      finish(false);
    }
  });
}
