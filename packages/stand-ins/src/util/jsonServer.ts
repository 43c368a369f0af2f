import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { createServer } from 'node:http';

/** An HTTP request to a stand-in, with its complete body. */
export interface StandInRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
}

/** Handles a request; returns whether the route exists. */
export type StandInHandler = (
  request: StandInRequest,
  response: ServerResponse,
) => Promise<boolean> | boolean;

/**
 * Serves a handler on a port of 127.0.0.1; with port 0 the operating system chooses a free port.
 *
 * @returns the server and the port on which it listens
 * @example
 * const { port } = await serveStandIn(handler, 0);
 */
export async function serveStandIn(
  handler: StandInHandler,
  port: number,
): Promise<{ readonly server: Server; readonly port: number }> {
  const server = createServer((incoming, response) => {
    handleRequest(handler, incoming, response).catch((failure: unknown) => {
      response.destroy(failure instanceof Error ? failure : undefined);
    });
  });
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve));
  const bound = server.address();
  return { port: typeof bound === 'object' && bound !== null ? bound.port : port, server };
}

async function handleRequest(
  handler: StandInHandler,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  const request: StandInRequest = {
    body: Buffer.concat(chunks),
    headers: incoming.headers,
    method: incoming.method ?? 'GET',
    url: new URL(incoming.url ?? '/', 'http://stand-in'),
  };
  if (!(await handler(request, response))) {
    sendJson(response, 404, { error: 'no such route' });
  }
}

/**
 * Sends a JSON response.
 *
 * @example
 * sendJson(response, 200, { status: 'ok' });
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): true {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
  return true;
}

/**
 * Parses the body of a request as JSON of the given type without validation, as only tests and
 * tools of this repository call the stand-ins.
 *
 * @example
 * const { program, fence } = readJson<ReleaseRequest>(request);
 */
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters -- the caller names the type; the body is not validated
export function readJson<Body>(request: StandInRequest): Body {
  return JSON.parse(request.body.toString('utf8')) as Body;
}
