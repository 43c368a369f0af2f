import type { IncomingMessage, ServerResponse } from 'node:http';

import { failureText } from '@zincring/core';
import { pipeline } from 'node:stream/promises';

import type { ReplicaEntry, ReplicaRunId } from '../upstreams/replica.js';
import type { ExchangeOutcome, ReplicaRequest } from '../upstreams/replicaExchange.js';
import type { ListenerContext } from '../listeners/httpListener.js';
import type { RelayFailure } from './relayProtocol.js';

import { withoutHeaders } from '../util/headerList.js';
import { RequestBody } from '../listeners/requestBody.js';
import { decodeRelayedRequest, readRelayPath, RELAY_OUTCOME_HEADER } from './relayProtocol.js';

/** Whether this instance can relay requests to a replica now. */
export type RelayAcceptance =
  | { readonly kind: 'accepted'; readonly entry: ReplicaEntry }
  | { readonly kind: Extract<RelayFailure, 'not-sent' | 'unavailable'>; readonly reason: string };

/** The replicas that this instance relays requests to. */
export interface RelayTarget {
  accept(run: ReplicaRunId): RelayAcceptance;
  exchange(entry: ReplicaEntry, request: ReplicaRequest): Promise<ExchangeOutcome>;
}

/** Maximum size of a relayed request, in bytes: that of the largest request with its history. */
const MAXIMUM_REQUEST_BYTES = 16 * 1024 * 1024;
const STATUS_UNAVAILABLE = 503;

/** Headers of a replica's response that concern its connection or its framing. */
const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'transfer-encoding',
]);

/**
 * Relays requests of other instances to replicas over this instance's own connections, and the responses
 * back. A response that broke off is broken off as well.
 *
 * @example
 * server.on('checkContinue', (request, response) => relayServer.handle(request, response));
 */
export class RelayServer {
  private inFlightCount = 0;

  public constructor(
    private readonly target: RelayTarget,
    private readonly context: Pick<ListenerContext, 'logger' | 'memory' | 'timers'>,
  ) {}

  /** Number of requests that are being relayed. */
  public get requestsInFlight(): number {
    return this.inFlightCount;
  }

  /** Handles a request whose sender waits for its acceptance. */
  public handle(request: IncomingMessage, response: ServerResponse): void {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const controller = new AbortController();
    this.inFlightCount++;
    response.once('close', () => {
      this.inFlightCount--;
      controller.abort();
    });
    this.relay(request, response, controller.signal).catch((failure: unknown) => {
      this.context.logger.info(
        { event: 'relay-failed', failure: failureText(failure) },
        'a relayed request broke off',
      );
      response.destroy();
    });
  }

  private async relay(
    request: IncomingMessage,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const run = readRelayPath(request.url ?? '');
    if (run === undefined) {
      sendFailure(response, 'not-sent', 'the path names no replica');
      return;
    }
    const acceptance = this.target.accept(run);
    if (acceptance.kind !== 'accepted') {
      sendFailure(response, acceptance.kind, acceptance.reason);
      return;
    }
    response.writeContinue();
    const { memory, timers } = this.context;
    const limits = { maximumBytes: MAXIMUM_REQUEST_BYTES, memory, timers };
    const content = await new RequestBody(request, response, limits).read();
    const relayed = content.ok ? decodeRelayedRequest(content.val) : undefined;
    if (relayed === undefined) {
      sendFailure(response, 'not-sent', 'the relayed request cannot be read');
      return;
    }
    const outcome = await this.target.exchange(acceptance.entry, {
      ...relayed,
      body: relayed.body.length === 0 ? undefined : relayed.body,
      headers: [...relayed.headers],
      signal,
    });
    await sendOutcome(response, outcome);
  }
}

async function sendOutcome(response: ServerResponse, outcome: ExchangeOutcome): Promise<void> {
  if (outcome.kind !== 'answered') {
    sendFailure(response, outcome.kind, outcome.reason);
    return;
  }
  const { body, framing, headers, status } = outcome.response;
  response.writeHead(status, [
    ...withoutHeaders(headers, connectionHeaders),
    RELAY_OUTCOME_HEADER,
    `answered ${framing}`,
  ]);
  response.flushHeaders();
  await pipeline(joinPieces(body), response);
}

/** Iterating over a body joins the pieces that have arrived, each of which would be written on its own otherwise. */
async function* joinPieces(body: IncomingMessage): AsyncGenerator<Buffer> {
  yield* body as AsyncIterable<Buffer>;
}

function sendFailure(response: ServerResponse, failure: RelayFailure, reason: string): void {
  response.writeHead(STATUS_UNAVAILABLE, {
    'Content-Length': 0,
    [RELAY_OUTCOME_HEADER]: `${failure} ${reason.replaceAll(/[^\x20-\x7e]/g, ' ')}`,
  });
  response.end();
}
