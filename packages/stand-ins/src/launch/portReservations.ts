import type { Server } from 'node:net';

import { createServer } from 'node:net';

/** First port that is handed out; the kernel gives ports from 32768 on to outgoing connections. */
const FIRST_PORT = 12_000;
/** Number of ports that may be handed out. */
const PORT_COUNT = 18_000;
/** Address whose ports stand for reservations; instances listen on 127.0.0.1. */
const GUARD_ADDRESS = '127.0.0.2';

/**
 * Ports for processes that must keep their address over restarts. A reservation is held by
 * listening on the same port of another loopback address, so that no other launcher hands the port
 * out; it lies outside the range from which the kernel picks ports.
 *
 * @example
 * const port = await reservations.reserve();
 */
export class PortReservations {
  private readonly guards: Server[] = [];
  private next = process.pid % PORT_COUNT;

  /** Reserves a port of 127.0.0.1 until {@link PortReservations.release}. */
  public async reserve(): Promise<number> {
    for (let tries = 0; tries < PORT_COUNT; tries++) {
      const port = FIRST_PORT + (this.next++ % PORT_COUNT);
      const guard = await listenIfFree(GUARD_ADDRESS, port);
      if (guard === undefined) {
        continue;
      }
      const probe = await listenIfFree('127.0.0.1', port);
      if (probe === undefined) {
        guard.close();
        continue;
      }
      await new Promise(resolve => probe.close(resolve));
      this.guards.push(guard);
      return port;
    }
    throw new Error('no port is free');
  }

  /** Gives all ports back. */
  public release(): void {
    this.guards.splice(0).forEach(guard => guard.close());
  }
}

async function listenIfFree(host: string, port: number): Promise<Server | undefined> {
  return await new Promise(resolve => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}
