import type { Region, ResponseReading, TimerService } from '@zincring/core';
import type { ClientRequest, IncomingMessage } from 'node:http';

import { endsWithConnection, failWithConnection, runExchange } from '@zincring/core';

import type { RequestId } from '../callers/requestFacts.js';
import type { BodyFraming } from '../callers/responseSink.js';
import type { ReplicaEntry } from './replica.js';
import type { ExchangeWatch } from './reachability/exchangeWatch.js';
import type { ReplicaAgent } from './replicaAgent.js';
import type { ResponseIdentity } from './responseIdentity.js';

/** Failure of an exchange that was ended because this instance has lost its links to the replicas. */
export class PathLostError extends Error {}

/** Request of one attempt at a replica. */
export interface ReplicaRequest {
  readonly method: string;
  readonly path: string;
  /** Headers as a flat list of names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Aborts the attempt by closing the connection to the replica. */
  readonly signal: AbortSignal;
  /** Whether the request may be sent again if its outcome is unknown. */
  readonly isRepeatable: boolean;
  /** Regions whose instances may relay the request; all may if absent. */
  readonly permittedRegions?: ReadonlySet<Region> | undefined;
}

/** Request of one attempt whose id is known. */
export interface IdentifiedRequest extends ReplicaRequest {
  /** Id that the headers contain and that the response must name; `undefined` if they contain none. */
  readonly requestId: RequestId | undefined;
}

/** Exchange without a response to its request. */
export interface UnansweredExchange {
  /**
   * `not-sent` means that the replica certainly did not run the request, `lost` that it may have run it,
   * and `foreign` that it may have run it and that the response on the connection answers another request.
   */
  readonly kind: 'foreign' | 'lost' | 'not-sent';
  readonly reason: string;
  /** Whether the path to the replica failed or no request could be made, which says nothing about the replica. */
  readonly isPathFault: boolean;
  /** Response that answers another request, if this instance has received it itself. */
  readonly foreignResponse?: ResponseIdentity;
}

/** Outcome of an attempt up to the head of the response, which may answer another request. */
export type ExchangeOutcome =
  UnansweredExchange | { readonly kind: 'answered'; readonly response: ReplicaResponse };

/** Response of a replica whose head has been received and whose body has yet to be read. */
export interface ReplicaResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: IncomingMessage;
  readonly framing: BodyFraming;
  /** Whether the connection had been used by earlier requests. */
  readonly isConnectionReused: boolean;
  /** Failure of the connection since the head was received; `undefined` if there was none. */
  readonly connectionFailure: () => string | undefined;
  /** Closes the connection, even if the response is complete. */
  readonly discard: () => void;
}

/** Timeout of opening a connection, in milliseconds; a replica normally accepts within about one. */
const CONNECT_TIMEOUT_MILLISECONDS = 400;

/** The replica of an exchange, and how it is reached. */
export interface ExchangeTarget {
  readonly entry: ReplicaEntry;
  readonly agent: ReplicaAgent;
  readonly reading: Pick<ResponseReading, 'onFlood' | 'turns'>;
  readonly watch: ExchangeWatch;
}

/**
 * Sends one attempt to a replica and waits for the head of its response. A request that cannot be sent, for
 * instance to a port out of range, is `not-sent`.
 *
 * @example
 * const outcome = await exchangeWithReplica(timers, { agent, entry, reading, watch }, request);
 */
export async function exchangeWithReplica(
  timers: TimerService,
  { agent, entry, reading, watch }: ExchangeTarget,
  { body, headers, method, path, signal }: ReplicaRequest,
): Promise<ExchangeOutcome> {
  let connection: ObservedConnection | undefined;
  const options = { agent, headers, host: entry.host, method, path, port: entry.port, signal };
  return await runExchange<ExchangeOutcome>(
    options,
    {
      onFailure: failure => {
        connection?.stop();
        const isOpen = connection?.isOpen() === true;
        if (connection !== undefined && !isOpen && !signal.aborted) {
          watch.onConnectionFailed();
        }
        return {
          isPathFault: connection === undefined || failure instanceof PathLostError,
          kind: isOpen ? 'lost' : 'not-sent',
          reason: failure.message,
        };
      },
      onResponse: (outgoing, incoming) => {
        connection?.stop();
        return { kind: 'answered', response: buildResponse(outgoing, incoming) };
      },
      onStarted: outgoing => {
        connection = observeConnection(timers, outgoing, watch);
        outgoing.end(body);
      },
    },
    {
      ...reading,
      onData: () => {
        watch.onData();
      },
    },
  );
}

interface ObservedConnection {
  isOpen(): boolean;
  stop(): void;
}

/** Records whether the request may have reached the replica, and aborts it if the connection does not open in time. */
function observeConnection(
  timers: TimerService,
  outgoing: ClientRequest,
  watch: ExchangeWatch,
): ObservedConnection {
  let isOpen = false;
  const timeout = timers.after(CONNECT_TIMEOUT_MILLISECONDS, () => {
    if (!isOpen) {
      outgoing.destroy(
        new Error(`no connection within ${String(CONNECT_TIMEOUT_MILLISECONDS)} ms`),
      );
    }
  });
  watch.onStarted(() => {
    outgoing.destroy(new PathLostError('the links to the replicas are lost'));
  });
  outgoing.once('close', () => {
    watch.onEnded();
  });
  outgoing.on('socket', socket => {
    if (!socket.connecting) {
      isOpen = true;
      return;
    }
    socket.once('connect', () => {
      isOpen = true;
      watch.onConnected();
    });
  });
  return {
    isOpen: () => isOpen,
    stop: () => {
      timeout.stop();
    },
  };
}

/**
 * Builds the response of an exchange from its head.
 *
 * @example
 * outgoing.on('response', incoming => resolve(buildResponse(outgoing, incoming)));
 */
export function buildResponse(outgoing: ClientRequest, incoming: IncomingMessage): ReplicaResponse {
  let connectionFailure: string | undefined;
  failWithConnection(outgoing, incoming);
  incoming.on('error', failure => {
    connectionFailure = failure.message;
  });
  return {
    body: incoming,
    connectionFailure: () => connectionFailure,
    discard: () => {
      outgoing.destroy();
      incoming.destroy();
    },
    framing: findFraming(outgoing.method, incoming),
    headers: incoming.rawHeaders,
    isConnectionReused: outgoing.reusedSocket,
    status: incoming.statusCode ?? 0,
  };
}

function findFraming(method: string, incoming: IncomingMessage): BodyFraming {
  const { headers, statusCode } = incoming;
  if (method === 'HEAD' || statusCode === 204 || statusCode === 304) {
    return 'length';
  }
  if (endsWithConnection(incoming)) {
    return 'connection';
  }
  return headers['transfer-encoding'] === undefined ? 'length' : 'chunked';
}
