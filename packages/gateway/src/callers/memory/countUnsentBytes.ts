import type { Socket } from 'node:net';

/** Part of the handle of Node's sockets that tells how much the system has not taken over yet. */
interface WriteQueue {
  readonly writeQueueSize?: number;
}

/**
 * Counts the bytes of the write in progress on a connection that the system has not taken over. Node
 * calls back for a write only as a whole, so this alone shows that a slow caller reads on.
 *
 * @example
 * const hasProgressed = countUnsentBytes(response.socket) !== previousUnsentBytes;
 */
export function countUnsentBytes(connection: Socket | null | undefined): number {
  const { _handle: queue } = (connection ?? {}) as { readonly _handle?: WriteQueue | null };
  return queue?.writeQueueSize ?? 0;
}
