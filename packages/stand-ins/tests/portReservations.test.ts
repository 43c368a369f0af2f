import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { PortReservations } from '../src/launch/portReservations.js';

describe(PortReservations, () => {
  const reservers = [new PortReservations(), new PortReservations()];

  afterEach(() => {
    reservers.forEach(reserver => {
      reserver.release();
    });
  });

  it('never reserves a port twice, even with several reservers', async () => {
    const ports: number[] = [];
    for (let round = 0; round < 10; round++) {
      for (const reserver of reservers) {
        ports.push(await reserver.reserve());
      }
    }
    expect(new Set(ports).size).toBe(ports.length);
  });

  it('reserves ports on which a process can listen', async () => {
    const port = await reservers[0]!.reserve();
    const server = createServer();
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    server.close();
  });

  it('reserves ports below those that the kernel uses for outgoing connections', async () => {
    expect(await reservers[0]!.reserve()).toBeLessThan(32_768);
  });
});
