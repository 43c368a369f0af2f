import type { Result, TimerService } from '@zincring/core';
import type { IncomingMessage } from 'node:http';

import {
  BodyContent,
  Err,
  failWithConnection,
  Ok,
  ResponseTurns,
  runExchange,
  SystemTimerService,
} from '@zincring/core';
import { Agent } from 'node:http';

import { PlatformError } from '../platformError.js';

/** Address of the platform and timeout of requests to it. */
export interface PlatformEndpointOptions {
  /** IP address and port, such as `127.0.0.1:4100`. */
  readonly address: string;
  /** Timeout for a complete response, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Maximum size of the body of a response, in bytes; 64 MB by default. */
  readonly maximumResponseBytes?: number;
  /** Defaults to those of the system. */
  readonly timers?: TimerService;
}

/** HTTP request to the platform. */
export interface HttpClientRequest {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** Whether the request can safely be repeated; if so, every failure counts as `unavailable`. */
  readonly isRetrySafe: boolean;
  /** Timeout for this response, in milliseconds; defaults to the timeout of the endpoint. */
  readonly timeoutMilliseconds?: number;
}

/** Complete HTTP response of the platform. */
export interface HttpClientResponse {
  readonly status: number;
  readonly body: Buffer;
}

const DEFAULT_MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;
/** Status of a request that the platform did not execute. */
const STATUS_UNAVAILABLE = 503;
/** Status of a request that the platform rejected because of its rate limit. */
const STATUS_TOO_MANY_REQUESTS = 429;

/**
 * Sends HTTP/1.1 requests to the platform over a pool of connections and classifies failures by
 * whether the request may have taken effect.
 */
export class HttpClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 32 });
  private readonly timers: TimerService;
  private readonly turns: ResponseTurns;

  public constructor(private readonly options: PlatformEndpointOptions) {
    this.timers = options.timers ?? new SystemTimerService();
    this.turns = new ResponseTurns(this.timers);
  }

  /** Sends a request and reads the complete response. */
  public async send(
    platformRequest: HttpClientRequest,
  ): Promise<Result<HttpClientResponse, PlatformError>> {
    try {
      const response = await this.sendOnce(platformRequest);
      if (response.status === STATUS_UNAVAILABLE) {
        return Err(new PlatformError('unavailable', 'the platform refused the request'));
      }
      if (response.status === STATUS_TOO_MANY_REQUESTS) {
        return Err(new PlatformError('rate-limited', 'the platform is over its rate'));
      }
      return Ok(response);
    } catch (failure) {
      // The idle connections may have been lost without notice, like the one that failed.
      this.destroyIdleSockets();
      return Err(classifyFailure(failure, platformRequest.isRetrySafe));
    }
  }

  /** Closes all connections. */
  public close(): void {
    this.agent.destroy();
  }

  private destroyIdleSockets(): void {
    for (const sockets of Object.values(this.agent.freeSockets)) {
      sockets?.forEach(socket => socket.destroy());
    }
  }

  private async sendOnce(platformRequest: HttpClientRequest): Promise<HttpClientResponse> {
    const [host, port] = this.options.address.split(':');
    const { body, headers, method, path } = platformRequest;
    const options = { agent: this.agent, headers, host, method, path, port };
    return await runExchange<HttpClientResponse>(
      options,
      {
        onFailure: async failure => await Promise.reject(failure),
        onResponse: async (outgoing, response) => {
          failWithConnection(outgoing, response);
          return { body: await this.readBody(response), status: response.statusCode ?? 0 };
        },
        onStarted: outgoing => {
          // A timer that ends with the exchange takes less time than an abort signal, which stays until it fires.
          const timeout = this.timers.after(
            platformRequest.timeoutMilliseconds ?? this.options.timeoutMilliseconds,
            () => {
              outgoing.destroy(new Error('the platform did not respond in time'));
            },
          );
          outgoing.on('close', () => {
            timeout.stop();
          });
          outgoing.end(body);
        },
      },
      { turns: this.turns },
    );
  }

  /** Reads a complete body by listeners, which take much less time than iterating over the response. */
  private async readBody(response: IncomingMessage): Promise<Buffer> {
    const { maximumResponseBytes = DEFAULT_MAXIMUM_RESPONSE_BYTES } = this.options;
    return await new Promise((resolve, reject) => {
      const content = new BodyContent();
      let receivedBytes = 0;
      response.on('data', (chunk: Buffer) => {
        receivedBytes += chunk.length;
        if (receivedBytes > maximumResponseBytes) {
          response.destroy(new Error('the answer of the platform is too large'));
          return;
        }
        content.append(chunk);
      });
      response.on('error', reject);
      // A connection that fails after the last byte, but before the response closes, is an error too.
      response.on('close', () => {
        if (response.complete && response.readableEnded) {
          resolve(content.complete());
          return;
        }
        content.clear();
        reject(new Error('the answer of the platform broke off'));
      });
    });
  }
}

function classifyFailure(failure: unknown, isRetrySafe: boolean): PlatformError {
  const code = (failure as { readonly code?: unknown } | null)?.code;
  const detail = failure instanceof Error ? failure.message : String(failure);
  // Only a refused connection guarantees that the platform never received the request.
  const hasCertainlyNoEffect = isRetrySafe || code === 'ECONNREFUSED';
  return new PlatformError(hasCertainlyNoEffect ? 'unavailable' : 'outcome-unknown', detail);
}
