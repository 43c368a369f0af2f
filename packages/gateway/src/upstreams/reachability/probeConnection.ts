import type { TimerService } from '@zincring/core';

import { connect } from 'node:net';

import type { ReplicaEntry } from '../replica.js';

/** Timeout of a probe, in milliseconds: that of a connection for a request. */
const PROBE_TIMEOUT_MILLISECONDS = 400;

/**
 * Opens a connection to a replica and closes it; returns whether it opened in time.
 *
 * @example
 * await probeConnection(timers, entry); // true
 */
export async function probeConnection(
  timers: TimerService,
  { host, port }: ReplicaEntry,
): Promise<boolean> {
  return await new Promise(resolve => {
    const socket = connect(port, host);
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
  });
}
