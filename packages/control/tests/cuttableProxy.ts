import type { Server, Socket } from 'node:net';

import { connect, createServer } from 'node:net';

/** A way to a TCP server that a test can cut. While it is cut, connections hang without an answer. */
export class CuttableProxy {
  private readonly sockets = new Set<Socket>();
  private isCut = false;

  private constructor(private readonly server: Server) {}

  /** IP number and port. */
  public get address(): string {
    const bound = this.server.address();
    return `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
  }

  /** Listens, and passes everything on to an address. */
  public static async to(address: string): Promise<CuttableProxy> {
    const [host, port] = address.split(':');
    const server = createServer();
    const proxy = new CuttableProxy(server);
    server.on('connection', incoming => {
      proxy.keep(incoming);
      if (proxy.isCut) {
        return;
      }
      const outgoing = connect(Number(port), host);
      proxy.keep(outgoing);
      incoming.pipe(outgoing).pipe(incoming);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return proxy;
  }

  /** Cuts the way: open connections end, new ones hang. */
  public cut(): void {
    this.isCut = true;
    this.endConnections();
  }

  /** Opens the way again. */
  public heal(): void {
    this.isCut = false;
    this.endConnections();
  }

  /** Stops listening. */
  public close(): void {
    this.server.close();
    this.endConnections();
  }

  private endConnections(): void {
    this.sockets.forEach(socket => socket.destroy());
  }

  private keep(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
  }
}
