import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

import { Agent } from 'node:http';

/** Idle time after which a connection to a replica is closed, in milliseconds: less than the idle timeout of replicas. */
const IDLE_TIMEOUT_MILLISECONDS = 2_500;

/**
 * HTTP connections to one run of a replica. Data received on an idle connection belongs to no
 * request, so the connection is closed instead of being reused.
 *
 * @example
 * const agent = new ReplicaAgent(16);
 */
export class ReplicaAgent extends Agent {
  public constructor(maximumConnections: number) {
    super({
      keepAlive: true,
      maxSockets: maximumConnections,
      scheduling: 'lifo',
      timeout: IDLE_TIMEOUT_MILLISECONDS,
    });
  }

  /** Closes the connections that are not in use. */
  public closeIdleConnections(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      sockets?.forEach(socket => socket.destroy());
    }
  }

  public override keepSocketAlive(socket: Socket): boolean {
    socket.on('data', destroyOnData);
    socket.resume();
    super.keepSocketAlive(socket);
    // Node.js keeps the socket only if true is returned, although its type declares no return value.
    return true;
  }

  public override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.removeListener('data', destroyOnData);
    super.reuseSocket(socket, request);
  }
}

function destroyOnData(this: Socket): void {
  this.destroy();
}
