import type { StreamEvent } from '../callers/eventSplitter.js';
import type { ReplicaResponse } from './replicaExchange.js';

import { EventSplitter } from '../callers/eventSplitter.js';

/** Options of {@link relayStream}. */
export interface StreamRelayOptions {
  readonly onEvent: (event: StreamEvent) => Promise<void>;
  readonly signal: AbortSignal;
}

/**
 * Forwards the events of a stream as they arrive, each only when it is complete. A stream is
 * complete if its body ended according to its HTTP framing and its last event is complete.
 *
 * @example
 * const end = await relayStream(response, { onEvent: forward, signal });
 */
export async function relayStream(
  response: ReplicaResponse,
  options: StreamRelayOptions,
): Promise<'broken' | 'complete'> {
  const eventSplitter = new EventSplitter();
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      for (const event of eventSplitter.push(chunk)) {
        await options.onEvent(event);
      }
      if (options.signal.aborted) {
        response.discard();
        return 'broken';
      }
    }
  } catch {
    // An error while reading the body means that the connection was lost; the caller of this function logs it.
    return 'broken';
  }
  return response.body.complete && eventSplitter.pendingBytes === 0 ? 'complete' : 'broken';
}
