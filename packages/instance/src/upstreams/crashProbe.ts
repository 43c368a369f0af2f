import type { TimerService } from '@zincring/core';

import { probeConnection, sleep } from '@zincring/core';

import type { Replica } from './replicaTable.js';

/** Tells whether a replica that broke off its response has crashed. */
export interface CrashProbe {
  hasCrashed(replica: Replica): Promise<boolean>;
}

/** Pause before a replica is probed, in milliseconds: a process that ends may close its connections before it stops listening. */
const PROBE_DELAY_MILLISECONDS = 100;

/** Takes a replica for crashed if it refuses a new connection; a response may also be lost on the way. */
export class ConnectionCrashProbe implements CrashProbe {
  public constructor(private readonly timers: TimerService) {}

  public async hasCrashed({ address }: Replica): Promise<boolean> {
    const [host = '', port] = address.split(':');
    await sleep(this.timers, PROBE_DELAY_MILLISECONDS);
    return (await probeConnection(this.timers, { host, port: Number(port) })) === 'refused';
  }
}
