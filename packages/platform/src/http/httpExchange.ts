import type { Result } from '@zincring/core';
import type { IncomingMessage } from 'node:http';

import { Err, Ok } from '@zincring/core';
import { Agent, request } from 'node:http';

import { PlatformError } from '../platformError.js';

/** Where the platform answers and how long to wait for it. */
export interface PlatformEndpointOptions {
  /** IP number and port, such as `127.0.0.1:4100`. */
  readonly address: string;
  /** Longest wait for a whole answer, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** One request to the platform. */
export interface HttpExchangeRequest {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** Whether repeating the request is harmless; then every failure counts as `unavailable`. */
  readonly isRead: boolean;
  /** Longest wait for this answer, in milliseconds; the endpoint's own where it is left out. */
  readonly timeoutMilliseconds?: number;
}

/** The whole answer. */
export interface HttpExchangeResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Largest answer accepted, in bytes. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;
/** Status by which the platform says that it did nothing. */
const STATUS_UNAVAILABLE = 503;
/** Status by which the platform refuses a call beyond its rate. */
const STATUS_TOO_MANY_REQUESTS = 429;

/** One HTTP exchange at a time per connection, with the failures sorted by what may have happened. */
export class HttpExchange {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 32 });

  public constructor(private readonly options: PlatformEndpointOptions) {}

  /** Sends a request and reads the whole answer. */
  public async send(
    exchange: HttpExchangeRequest,
  ): Promise<Result<HttpExchangeResponse, PlatformError>> {
    try {
      const response = await this.exchange(exchange);
      if (response.status === STATUS_UNAVAILABLE || response.status === STATUS_TOO_MANY_REQUESTS) {
        return Err(new PlatformError('unavailable', 'the platform refused the request'));
      }
      return Ok(response);
    } catch (failure) {
      // Idle connections may have gone silent together with the one that failed.
      this.dropIdle();
      return Err(classifyFailure(failure, exchange.isRead));
    }
  }

  /** Closes idle connections. */
  public close(): void {
    this.agent.destroy();
  }

  private dropIdle(): void {
    for (const sockets of Object.values(this.agent.freeSockets)) {
      sockets?.forEach(socket => socket.destroy());
    }
  }

  private async exchange(exchange: HttpExchangeRequest): Promise<HttpExchangeResponse> {
    const [host, port] = this.options.address.split(':');
    return await new Promise((resolve, reject) => {
      const outgoing = request({
        agent: this.agent,
        headers: { ...exchange.headers },
        host,
        method: exchange.method,
        path: exchange.path,
        port,
        signal: AbortSignal.timeout(
          exchange.timeoutMilliseconds ?? this.options.timeoutMilliseconds,
        ),
      });
      outgoing.on('error', reject);
      outgoing.on('response', response => {
        readBody(response).then(body => {
          resolve({ status: response.statusCode ?? 0, body });
        }, reject);
      });
      outgoing.end(exchange.body);
    });
  }
}

async function readBody(response: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAXIMUM_ANSWER_BYTES) {
      throw new Error('the answer of the platform is too large');
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function classifyFailure(failure: unknown, isRead: boolean): PlatformError {
  const code = (failure as { readonly code?: unknown } | null)?.code;
  const detail = failure instanceof Error ? failure.message : String(failure);
  // Only a refused connection proves that the platform never saw the request.
  const isHarmless = isRead || code === 'ECONNREFUSED';
  return new PlatformError(isHarmless ? 'unavailable' : 'outcome-unknown', detail);
}
