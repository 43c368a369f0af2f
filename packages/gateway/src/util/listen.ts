import type { Server } from 'node:net';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';

/** Connections that may wait to be accepted: enough for all callers of an instance to reconnect after a pause. */
const BACKLOG = 1_024;

/**
 * Makes a server listen; port 0 selects any free port.
 *
 * @example
 * await listenOn(server, { host: '10.1.0.11', port: 8369 });
 */
export async function listenOn(server: Server, { host, port }: ListenAddress): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ backlog: BACKLOG, host, port }, resolve);
  });
}

/**
 * Returns the port on which a server listens; 0 when it does not listen.
 *
 * @example
 * getPort(server); // 8369
 */
export function getPort(server: Server): number {
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
}
