import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/**
 * Requests of each connection whose response is not complete. Bytes that are no request may follow a request
 * that is in progress; the refusal of these bytes would be taken for its response.
 *
 * @example
 * unansweredRequests.add(request, response);
 * unansweredRequests.hasComplete(request.socket); // true once its body has been received
 */
export class UnansweredRequests {
  private readonly requests = new WeakMap<Duplex, Set<IncomingMessage>>();
  private readonly closingConnections = new WeakSet<Duplex>();

  /** Keeps a request until its response ends. */
  public add(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const known = this.requests.get(socket) ?? new Set();
    this.requests.set(socket, known.add(request));
    response.once('close', () => {
      known.delete(request);
      if (this.closingConnections.has(socket) && !this.hasComplete(socket)) {
        socket.end();
      }
    });
  }

  /** Whether a connection has a request that was received completely, which may be running. */
  public hasComplete(connection: Duplex): boolean {
    return [...(this.requests.get(connection) ?? [])].some(({ complete }) => complete);
  }

  /** Closes a connection after the responses to its complete requests. */
  public closeAfterResponses(connection: Duplex): void {
    this.closingConnections.add(connection);
  }
}
