import type { Socket } from 'node:net';

import type { ConnectionIntake } from './connectionIntake.js';

/**
 * Connections of one listener.
 *
 * @example
 * table.add(socket, intake);
 */
export class ConnectionTable {
  private readonly intakes = new Map<Socket, ConnectionIntake>();

  /** Connections that are open. */
  public get size(): number {
    return this.intakes.size;
  }

  /** Returns the intake of a connection; `undefined` once it is closed. */
  public find(socket: Socket): ConnectionIntake | undefined {
    return this.intakes.get(socket);
  }

  /** All open connections. */
  public entries(): IterableIterator<[Socket, ConnectionIntake]> {
    return this.intakes.entries();
  }

  /** Adds a connection until it is closed. */
  public add(socket: Socket, intake: ConnectionIntake): void {
    this.intakes.set(socket, intake);
    socket.once('close', () => {
      this.intakes.delete(socket);
    });
  }
}
