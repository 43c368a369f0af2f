import type { Server } from 'node:net';

import { createServer } from 'node:net';

/** First port of the range; the kernel uses ports from 32768 on for outgoing connections. */
const FIRST_PORT = 12_000;
/** Number of ports in the range. */
const PORT_COUNT = 18_000;
/** Loopback address on whose ports reservations are held; instances listen on 127.0.0.1. */
const RESERVATION_ADDRESS = '127.0.0.2';

/**
 * Reserves ports for processes that must keep their address over restarts. A reservation is held by
 * listening on the same port of another loopback address, which keeps other processes that use this
 * class from reserving it. All ports lie outside the range from which the kernel chooses ports.
 *
 * @example
 * const port = await reservations.reserve();
 */
export class PortReservations {
  private readonly reservations: Server[] = [];
  private nextOffset = process.pid % PORT_COUNT;

  /** Reserves a free port of 127.0.0.1 until {@link PortReservations.release}. */
  public async reserve(): Promise<number> {
    for (let attempt = 0; attempt < PORT_COUNT; attempt++) {
      const port = FIRST_PORT + (this.nextOffset++ % PORT_COUNT);
      const reservation = await listenIfFree(RESERVATION_ADDRESS, port);
      if (reservation === undefined) {
        continue;
      }
      const probe = await listenIfFree('127.0.0.1', port);
      if (probe === undefined) {
        reservation.close();
        continue;
      }
      await new Promise(resolve => probe.close(resolve));
      this.reservations.push(reservation);
      return port;
    }
    throw new Error('no free port in the reservation range');
  }

  /** Releases all reserved ports. */
  public release(): void {
    this.reservations.splice(0).forEach(reservation => reservation.close());
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
