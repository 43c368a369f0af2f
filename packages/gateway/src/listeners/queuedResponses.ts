import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Closes the responses of pipelined requests with their connection. Node does so only for the response
 * that is being written; those that wait behind it would never end when the caller leaves.
 *
 * @example
 * queuedResponses.add(response, request.socket);
 */
export class QueuedResponses {
  private readonly responses = new WeakMap<Socket, Set<ServerResponse>>();

  /** Watches a response until it is its turn; has no effect if it is already. */
  public add(response: ServerResponse, connection: Socket): void {
    if (response.socket !== null) {
      return;
    }
    const queue = this.responses.get(connection) ?? this.watch(connection);
    queue.add(response);
    response.once('socket', () => queue.delete(response));
  }

  /** Whether a response is the last one of its connection so far. */
  public isLast(response: ServerResponse, connection: Socket): boolean {
    const queue = this.responses.get(connection);
    return (
      queue === undefined || [...queue].at(-1) === (queue.has(response) ? response : undefined)
    );
  }

  private watch(connection: Socket): Set<ServerResponse> {
    const queue = new Set<ServerResponse>();
    this.responses.set(connection, queue);
    connection.once('close', () => {
      queue.forEach(response => {
        response.destroy();
        response.emit('close');
      });
      queue.clear();
    });
    return queue;
  }
}
