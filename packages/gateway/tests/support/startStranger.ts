import type { AddressInfo, Socket } from 'node:net';

import { createServer } from 'node:net';

/** A server that speaks no protocol of this project. */
export interface Stranger {
  readonly port: number;
  readonly close: () => void;
}

/** Starts a server that handles each connection by the given function. */
export async function startStranger(handle: (socket: Socket) => void): Promise<Stranger> {
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    handle(socket);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    close: () => {
      server.close();
      sockets.forEach(socket => socket.destroy());
    },
    port: (server.address() as AddressInfo).port,
  };
}
