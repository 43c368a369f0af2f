import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

import { Agent } from 'node:http';

/** How long a connection to a replica may stay idle before it is closed, in milliseconds: below what replicas allow. */
const IDLE_MILLISECONDS = 2_500;

/**
 * Connections to one run of a replica. Bytes that arrive on an idle connection belong to no
 * request, so the connection is closed instead of being used again.
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
      timeout: IDLE_MILLISECONDS,
    });
  }

  public override keepSocketAlive(socket: Socket): boolean {
    socket.on('data', destroyOnData);
    socket.resume();
    super.keepSocketAlive(socket);
    // Node keeps the socket only if this is true, although its types say nothing is returned.
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
