import type { TimerService } from '@zincring/core';
import type { ClientRequest, IncomingMessage } from 'node:http';

import { request as startRequest } from 'node:http';

import type { ReplicaEntry } from './replica.js';
import type { ReplicaAgent } from './replicaAgent.js';

/** One attempt at a replica. */
export interface ReplicaRequest {
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Ends the attempt; the replica sees its connection close. */
  readonly signal: AbortSignal;
}

/** How an attempt began. `not-sent` is certain; `lost` means that the replica may have run it. */
export type ExchangeOutcome =
  | { readonly kind: 'answered'; readonly answer: ReplicaAnswer }
  | { readonly kind: 'lost'; readonly reason: string }
  | { readonly kind: 'not-sent'; readonly reason: string };

/** The head of an answer, with its body still to come. */
export interface ReplicaAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: IncomingMessage;
  /** Closes the connection, also when the answer is complete. */
  readonly discard: () => void;
}

/** Longest wait for a connection, in milliseconds: a replica accepts within about one. */
const CONNECT_MILLISECONDS = 400;

/**
 * Sends one attempt to a replica and waits for the head of its answer.
 *
 * @example
 * const outcome = await exchangeWithReplica(timers, agent, entry, request);
 */
export async function exchangeWithReplica(
  timers: TimerService,
  agent: ReplicaAgent,
  entry: ReplicaEntry,
  { body, headers, method, path, signal }: ReplicaRequest,
): Promise<ExchangeOutcome> {
  return await new Promise(resolve => {
    const outgoing = startRequest({
      agent,
      headers,
      host: entry.host,
      method,
      path,
      port: entry.port,
      signal,
    });
    const connection = watchConnection(timers, outgoing);
    outgoing.on('response', incoming => {
      connection.stop();
      resolve({ answer: toAnswer(outgoing, incoming), kind: 'answered' });
    });
    outgoing.on('error', failure => {
      connection.stop();
      const kind = connection.isOpen() ? 'lost' : 'not-sent';
      resolve({ kind, reason: failure.message });
    });
    outgoing.end(body);
  });
}

interface ConnectionWatch {
  isOpen(): boolean;
  stop(): void;
}

/** Tells whether anything can have reached the replica, and gives up a connection that does not open. */
function watchConnection(timers: TimerService, outgoing: ClientRequest): ConnectionWatch {
  let isOpen = false;
  const limit = timers.after(CONNECT_MILLISECONDS, () => {
    if (!isOpen) {
      outgoing.destroy(new Error(`no connection within ${String(CONNECT_MILLISECONDS)} ms`));
    }
  });
  outgoing.on('socket', socket => {
    if (!socket.connecting) {
      isOpen = true;
      return;
    }
    socket.once('connect', () => {
      isOpen = true;
    });
  });
  return {
    isOpen: () => isOpen,
    stop: () => {
      limit.stop();
    },
  };
}

function toAnswer(outgoing: ClientRequest, incoming: IncomingMessage): ReplicaAnswer {
  // Later failures of the request show in the body, which ends incomplete.
  incoming.on('error', () => undefined);
  return {
    body: incoming,
    discard: () => {
      outgoing.destroy();
      incoming.destroy();
    },
    headers: incoming.rawHeaders,
    status: incoming.statusCode ?? 0,
  };
}
