import type { AddressInfo } from 'node:net';

import { ManualTimerService, SessionManager } from '@zincring/core';
import { createServer } from 'node:net';
import { expect, it } from 'vitest';

it('closes a connection without responses although new streams are opened on it', async () => {
  const server = createServer(socket => socket.on('error', () => undefined));
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const timers = new ManualTimerService();
  const { port } = server.address() as AddressInfo;
  const manager = new SessionManager(`http://127.0.0.1:${port}`, timers, {
    intervalMilliseconds: 1_000,
    timeoutMilliseconds: 3_000,
  });
  const call = await manager.request('POST', '/call', {}, {});
  call.on('error', () => undefined);
  await new Promise(resolve => setTimeout(resolve, 100));
  for (let attempt = 0; attempt < 12; attempt++) {
    await timers.advance(500);
    const stream = await manager.request('POST', '/heartbeat', {}, {});
    stream.on('error', () => undefined);
  }
  expect(call.destroyed).toBe(true);
  manager.abort();
  server.close();
});
