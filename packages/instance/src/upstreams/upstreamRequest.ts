import type { IncomingMessage } from 'node:http';

import { Agent, request } from 'node:http';

/** Connections to upstreams, kept open between requests. */
const agent = new Agent({ keepAlive: true, maxSockets: 512 });

/** One request to an upstream. */
export interface UpstreamRequest {
  /** IP number and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | string;
  readonly signal: AbortSignal;
}

/** Sends a request and waits for the head of the answer; rejects when there is none. */
export async function openRequest(options: UpstreamRequest): Promise<IncomingMessage> {
  const [host, port] = options.address.split(':');
  return await new Promise((resolve, reject) => {
    const outgoing = request({
      agent,
      headers: { ...options.headers },
      host,
      method: options.method,
      path: options.path,
      port,
      signal: options.signal,
    });
    outgoing.on('error', reject);
    outgoing.on('response', resolve);
    outgoing.end(options.body);
  });
}

/** Longest line that an upstream may send, in characters. */
const LONGEST_LINE = 1_048_576;

/** Splits an answer into lines. */
export async function* readLines(response: IncomingMessage): AsyncGenerator<string> {
  let rest = '';
  response.setEncoding('utf8');
  for await (const chunk of response as AsyncIterable<string>) {
    const lines = (rest + chunk).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > LONGEST_LINE) {
      throw new Error('the upstream sent too long a line');
    }
    yield* lines;
  }
  if (rest !== '') {
    yield rest;
  }
}

/** Reads a whole answer as text; rejects when it is longer than a line may be. */
export async function readAll(response: IncomingMessage): Promise<string> {
  let text = '';
  response.setEncoding('utf8');
  for await (const chunk of response as AsyncIterable<string>) {
    text += chunk;
    if (text.length > LONGEST_LINE) {
      throw new Error('the upstream sent too long an answer');
    }
  }
  return text;
}
