import type { AddressInfo } from 'node:net';

import { createServer } from 'node:net';
import { describe, expect, it } from 'vitest';

import { probeConnection, SystemTimerService } from '../src/index.js';

describe(probeConnection, () => {
  it('tells an address at which a process listens from one that refuses connections', async () => {
    const timers = new SystemTimerService();
    const server = createServer(socket => socket.destroy());
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const target = { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
    expect(await probeConnection(timers, target)).toBe('open');
    await new Promise(resolve => server.close(resolve));
    expect(await probeConnection(timers, target)).toBe('refused');
  });
});
