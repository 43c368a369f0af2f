import type { StreamEvent } from '../callers/eventSplitter.js';
import type { ReplicaAnswer } from './replicaExchange.js';

import { EventSplitter } from '../callers/eventSplitter.js';

/** Options of {@link relayStream}. */
export interface StreamRelayOptions {
  readonly onEvent: (event: StreamEvent) => Promise<void>;
  readonly signal: AbortSignal;
}

/**
 * Passes on the events of a stream as they arrive, each only when it is complete. A stream is
 * complete if its body ended according to its HTTP framing and its last event is complete.
 *
 * @example
 * const end = await relayStream(answer, { onEvent: forward, signal });
 */
export async function relayStream(
  answer: ReplicaAnswer,
  options: StreamRelayOptions,
): Promise<'broken' | 'complete'> {
  const eventSplitter = new EventSplitter();
  try {
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      for (const event of eventSplitter.push(chunk)) {
        await options.onEvent(event);
      }
      if (options.signal.aborted) {
        answer.discard();
        return 'broken';
      }
    }
  } catch {
    // An error while reading the body means that the connection was lost; the caller of this function logs it.
    return 'broken';
  }
  return answer.body.complete && eventSplitter.pendingBytes === 0 ? 'complete' : 'broken';
}
