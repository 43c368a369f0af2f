import type { ClientRequest, IncomingMessage, RequestOptions } from 'node:http';

import { request as startRequest } from 'node:http';

/** What becomes of an exchange; exactly one of `onResponse` and `onFailure` gives its outcome. */
export interface ExchangeHandlers<Outcome> {
  /** Called with the request, which it must send; not called if no request can be made of the options. */
  onStarted(outgoing: ClientRequest): void;
  /** Called with the head of the response, before any of the body. */
  onResponse(outgoing: ClientRequest, incoming: IncomingMessage): Outcome;
  /** Called if there is no response. */
  onFailure(failure: Error): Outcome;
}

/**
 * Runs an exchange up to the head of the response; it never throws. Node.js throws where it starts a request whose
 * address or headers cannot be sent.
 *
 * @example
 * const status = await runExchange({ host, port }, {
 *   onFailure: () => undefined,
 *   onResponse: (outgoing, incoming) => incoming.statusCode,
 *   onStarted: outgoing => outgoing.end(),
 * });
 */
export async function runExchange<Outcome>(
  options: RequestOptions,
  handlers: ExchangeHandlers<Outcome>,
): Promise<Outcome> {
  return await new Promise(resolve => {
    const outgoing = tryToStart(options);
    if (outgoing instanceof Error) {
      resolve(handlers.onFailure(outgoing));
      return;
    }
    outgoing.on('response', incoming => {
      resolve(handlers.onResponse(outgoing, incoming));
    });
    outgoing.on('error', failure => {
      resolve(handlers.onFailure(failure));
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
