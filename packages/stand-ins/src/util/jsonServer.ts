import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { createServer } from 'node:http';

/** One request to a stand-in, with its body read. */
export interface StandInRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
}

/** Answers a request; returns whether it knew the route. */
export type StandInHandler = (
  request: StandInRequest,
  response: ServerResponse,
) => Promise<boolean> | boolean;

/**
 * Serves a handler on an IP number and port; port 0 takes a free one.
 *
 * @returns the server and the port that it listens on
 * @example
 * const { port } = await serveStandIn(handler, 0);
 */
export async function serveStandIn(
  handler: StandInHandler,
  port: number,
): Promise<{ readonly server: Server; readonly port: number }> {
  const server = createServer((incoming, response) => {
    answer(handler, incoming, response).catch((failure: unknown) => {
      response.destroy(failure instanceof Error ? failure : undefined);
    });
  });
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve));
  const bound = server.address();
  return { port: typeof bound === 'object' && bound !== null ? bound.port : port, server };
}

async function answer(
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
 * Sends a JSON answer.
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
 * Parses the body of a request as JSON of an expected type; stand-ins trust their callers.
 *
 * @example
 * const order = readJson<ReleaseOrder>(request);
 */
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters -- stand-ins trust their callers
export function readJson<Body>(request: StandInRequest): Body {
  return JSON.parse(request.body.toString('utf8')) as Body;
}
