import type { Server, Socket } from 'node:net';

import { connect, createServer } from 'node:net';

/**
 * TCP proxy that a test can cut off from its target. While it is cut off, it accepts connections but
 * never responds.
 */
export class CuttableProxy {
  private readonly sockets = new Set<Socket>();
  private isCut = false;

  private constructor(private readonly server: Server) {}

  /** IP address and port on which the proxy listens. */
  public get address(): string {
    const bound = this.server.address();
    return `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
  }

  /** Starts a proxy that forwards all connections to an address. */
  public static async start(address: string): Promise<CuttableProxy> {
    const [host, port] = address.split(':');
    const server = createServer();
    const proxy = new CuttableProxy(server);
    server.on('connection', incoming => {
      proxy.trackSocket(incoming);
      if (proxy.isCut) {
        return;
      }
      const outgoing = connect(Number(port), host);
      proxy.trackSocket(outgoing);
      incoming.pipe(outgoing).pipe(incoming);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return proxy;
  }

  /** Closes open connections and leaves new ones without a response. */
  public cut(): void {
    this.isCut = true;
    this.destroySockets();
  }

  /** Forwards new connections again. */
  public heal(): void {
    this.isCut = false;
    this.destroySockets();
  }

  /** Stops listening and closes all connections. */
  public close(): void {
    this.server.close();
    this.destroySockets();
  }

  private destroySockets(): void {
    this.sockets.forEach(socket => socket.destroy());
  }

  private trackSocket(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
  }
}
