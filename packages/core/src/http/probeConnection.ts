import { Socket } from 'node:net';

import type { TimerService } from '../time/timerService.js';

/** Outcome of a probe: `refused` if nothing listens at the address, `silent` if nothing answered in time. */
export type ProbeOutcome = 'open' | 'refused' | 'silent';

/** Timeout of a probe, in milliseconds: a process normally accepts within about one. */
const PROBE_TIMEOUT_MILLISECONDS = 400;

/**
 * Opens a connection and closes it; never throws.
 *
 * @example
 * await probeConnection(timers, { host: '10.1.0.9', port: 8080 }); // 'open'
 */
export async function probeConnection(
  timers: TimerService,
  { host, port }: { readonly host: string; readonly port: number },
): Promise<ProbeOutcome> {
  return await new Promise(resolve => {
    const socket = new Socket();
    const finish = (outcome: ProbeOutcome): void => {
      timeout.stop();
      socket.destroy();
      resolve(outcome);
    };
    const timeout = timers.after(PROBE_TIMEOUT_MILLISECONDS, () => {
      finish('silent');
    });
    socket.once('connect', () => {
      finish('open');
    });
    socket.once('error', ({ code }: NodeJS.ErrnoException) => {
      finish(code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
    try {
      socket.connect(port, host);
    } catch {
      // Node.js throws for an address to which no connection can be opened.
      finish('silent');
    }
  });
}
