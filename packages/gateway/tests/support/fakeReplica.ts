import type { AddressInfo, Server, Socket } from 'node:net';

import { createServer } from 'node:net';

/** One request as the replica read it. */
export interface SeenRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Answers a request by writing to its connection. */
export type Behaviour = (socket: Socket, request: SeenRequest) => void;

/** A replica over a socket, so that tests decide each byte of its answers. */
export class FakeReplica {
  public readonly seen: SeenRequest[] = [];
  /** Connections that were closed from the other end. */
  public closed = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  /** Behaviours in order; the last one is used for all further requests. */
  public constructor(private readonly behaviours: readonly Behaviour[]) {
    this.server = createServer(socket => {
      this.serve(socket);
    });
  }

  public async start(): Promise<number> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  public stop(): void {
    this.server.close();
    this.sockets.forEach(socket => socket.destroy());
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.closed++;
      this.sockets.delete(socket);
    });
    let pending = '';
    socket.on('data', chunk => {
      pending += chunk.toString('latin1');
      for (let request = readRequest(pending); request !== undefined;) {
        pending = pending.slice(request.length);
        this.answer(socket, request.seen);
        request = readRequest(pending);
      }
    });
  }

  private answer(socket: Socket, request: SeenRequest): void {
    const index = Math.min(this.seen.length, this.behaviours.length - 1);
    this.seen.push(request);
    this.behaviours[index]?.(socket, request);
  }
}

function readRequest(
  text: string,
): { readonly length: number; readonly seen: SeenRequest } | undefined {
  const end = text.indexOf('\r\n\r\n');
  if (end === -1) {
    return undefined;
  }
  const [first = '', ...lines] = text.slice(0, end).split('\r\n');
  const [method = '', path = ''] = first.split(' ');
  const headers = new Map(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const size = Number(headers.get('content-length') ?? 0);
  const length = end + 4 + size;
  if (text.length < length) {
    return undefined;
  }
  return { length, seen: { body: text.slice(end + 4, length), headers, method, path } };
}

function head(request: SeenRequest, status: string, lines: readonly string[]): string {
  const id = request.headers.get('request-id') ?? '';
  return [`HTTP/1.1 ${status}`, `Request-Id: ${id}`, 'Server-Stamp: s1', ...lines, '', ''].join(
    '\r\n',
  );
}

/** A whole answer. */
export function answers(body: string, status = '200 OK'): Behaviour {
  return (socket, request) => {
    socket.write(head(request, status, [`Content-Length: ${String(body.length)}`]) + body);
  };
}

/** A refusal that promises that the request did not run. */
export const refuses: Behaviour = (socket, request) => {
  socket.write(head(request, '503 Full', ['Not-Executed: 1', 'Content-Length: 0']));
};

/** The answer of another replica at the address. */
export const misdirects: Behaviour = socket => {
  socket.write('HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n');
};

/** The connection ends without an answer. */
export const resets: Behaviour = socket => {
  socket.resetAndDestroy();
};

/** The answer ends before its length says. */
export const truncates: Behaviour = (socket, request) => {
  socket.end(`${head(request, '200 OK', ['Content-Length: 10'])}half`);
};

/** The answer to another request. */
export const confuses: Behaviour = socket => {
  socket.write(
    'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nother',
  );
};

/** A whole answer and a second one behind it. */
export function answersTwice(body: string, pauseMilliseconds: number): Behaviour {
  return (socket, request) => {
    answers(body)(socket, request);
    setTimeout(() => {
      confuses(socket, request);
    }, pauseMilliseconds);
  };
}

/** Bytes that are no answer. */
export const babbles: Behaviour = socket => {
  socket.write('no answer at all\r\n\r\n');
};

/** An answer without a length that ends with its connection. */
export function answersUnframed(body: string): Behaviour {
  return (socket, request) => {
    socket.end(head(request, '200 OK', ['Connection: close']) + body);
  };
}

/** Nothing, for ever. */
export const stalls: Behaviour = () => undefined;

/** Events of a stream, then an end: whole, broken off, or none. */
export function streams(
  ids: readonly number[],
  end: 'break' | 'half-event' | 'stall' | 'whole',
): Behaviour {
  return (socket, request) => {
    socket.write(
      head(request, '200 OK', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']),
    );
    for (const id of ids) {
      socket.write(toChunk(`id: ${String(id)}\ndata: piece ${String(id)}\n\n`));
    }
    switch (end) {
      case 'whole':
        socket.write('0\r\n\r\n');
        return;
      case 'half-event':
        socket.write(toChunk('id: 99\ndata: ha'));
        setTimeout(() => socket.destroy(), 5);
        return;
      case 'break':
        setTimeout(() => socket.destroy(), 5);
        return;
      case 'stall':
        return;
      default:
        end satisfies never;
    }
  };
}

function toChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}
