import type { ClientRequest, IncomingMessage, RequestOptions } from 'node:http';

import { request as startRequest } from 'node:http';

import type { ResponseObserver } from './responseIntake.js';
import type { ResponseTurns } from './responseTurns.js';

/** What becomes of an exchange; exactly one of `onResponse` and `onFailure` is called, once, and gives its outcome. */
export interface ExchangeHandlers<Outcome> {
  /** Called with the request, which it must send; not called if no request can be made of the options. */
  onStarted(outgoing: ClientRequest): void;
  /** Called with the head of the response, before any of the body. */
  onResponse(outgoing: ClientRequest, incoming: IncomingMessage): Outcome | Promise<Outcome>;
  /** Called if there is no response. */
  onFailure(failure: Error): Outcome | Promise<Outcome>;
}

/** How the response of an exchange is read. */
export interface ResponseReading extends ResponseObserver {
  /** Shared by all exchanges that read similar responses. */
  readonly turns: ResponseTurns;
}

/** Statuses of responses; lower ones are informational or none at all, and higher ones have no meaning. */
const FINAL_STATUSES = { maximum: 599, minimum: 200 };

/**
 * Runs an exchange up to the head of the response; it ends in one outcome and never throws. Node.js throws where it
 * starts a request whose address or headers cannot be sent, and after a switch of protocols that nobody asked for it
 * only closes the connection.
 *
 * @example
 * const status = await runExchange({ host, port }, {
 *   onFailure: () => undefined,
 *   onResponse: (outgoing, incoming) => incoming.statusCode,
 *   onStarted: outgoing => outgoing.end(),
 * }, { turns });
 */
export async function runExchange<Outcome>(
  options: RequestOptions,
  handlers: ExchangeHandlers<Outcome>,
  reading: ResponseReading,
): Promise<Outcome> {
  return await new Promise(resolve => {
    const outgoing = tryToStart(options);
    if (outgoing instanceof Error) {
      resolve(handlers.onFailure(outgoing));
      return;
    }
    reading.turns.read(outgoing, reading);
    let hasEnded = false;
    const fail = (failure: Error): void => {
      if (!hasEnded) {
        hasEnded = true;
        resolve(handlers.onFailure(failure));
      }
    };
    outgoing.on('response', incoming => {
      const status = incoming.statusCode ?? 0;
      if (status < FINAL_STATUSES.minimum || status > FINAL_STATUSES.maximum) {
        outgoing.destroy(new Error(`the status ${String(status)} is none of a response`));
        return;
      }
      hasEnded = true;
      resolve(handlers.onResponse(outgoing, incoming));
    });
    outgoing.on('error', fail);
    outgoing.once('close', () => {
      // Capturing the stack of an error is expensive, and every exchange closes.
      if (!hasEnded) {
        fail(new Error('the connection was closed without a response'));
      }
    });
    handlers.onStarted(outgoing);
  });
}

function tryToStart(options: RequestOptions): ClientRequest | Error {
  try {
    return startRequest(options);
  } catch (failure) {
    return failure instanceof Error ? failure : new Error(String(failure));
  }
}
