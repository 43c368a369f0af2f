import type { IncomingMessage } from 'node:http';

import { failWithConnection, ResponseTurns, runExchange, SystemTimerService } from '@zincring/core';
import { Agent } from 'node:http';

/** Pool of connections to upstreams, which are kept open between requests. */
const agent = new Agent({ keepAlive: true, maxSockets: 512 });

/** Turns that large and fast responses of all upstreams take. */
const turns = new ResponseTurns(new SystemTimerService());

/** HTTP request to an upstream. */
export interface UpstreamRequest {
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | string;
  readonly signal: AbortSignal;
}

/**
 * Sends a request and waits for the head of the response; rejects if there is none. Reading the body
 * fails if the connection fails.
 */
export async function sendRequest(options: UpstreamRequest): Promise<IncomingMessage> {
  const [host, port] = options.address.split(':');
  const { body, headers, method, path, signal } = options;
  const request = { agent, headers: { ...headers }, host, method, path, port, signal };
  return await runExchange<IncomingMessage>(
    request,
    {
      onFailure: async failure => await Promise.reject(failure),
      onResponse: (outgoing, incoming) => {
        failWithConnection(outgoing, incoming);
        return incoming;
      },
      onStarted: outgoing => {
        outgoing.end(body);
      },
    },
    { turns },
  );
}

/** Maximum length of a line, or of a response read as text, in characters. */
const MAXIMUM_LINE_CHARACTERS = 1_048_576;

/** Reads a response line by line. A last line without a line feed was broken off and is left out. */
export async function* readLines(response: IncomingMessage): AsyncGenerator<string> {
  let remainder = '';
  response.setEncoding('utf8');
  for await (const chunk of response as AsyncIterable<string>) {
    const lines = (remainder + chunk).split('\n');
    remainder = lines.pop() ?? '';
    if (remainder.length > MAXIMUM_LINE_CHARACTERS) {
      throw new Error('the upstream sent too long a line');
    }
    yield* lines;
  }
}

/** Reads a complete response as text; rejects if it exceeds the maximum length of a line. */
export async function readText(response: IncomingMessage): Promise<string> {
  let text = '';
  response.setEncoding('utf8');
  for await (const chunk of response as AsyncIterable<string>) {
    text += chunk;
    if (text.length > MAXIMUM_LINE_CHARACTERS) {
      throw new Error('the upstream response exceeds the maximum length');
    }
  }
  return text;
}
