import type { StreamEvent } from '../callers/eventSplitter.js';
import type { ReplicaAnswer } from './replicaExchange.js';

import { EventSplitter } from '../callers/eventSplitter.js';

/** What {@link relayStream} does with the events. */
export interface StreamRelayOptions {
  readonly onEvent: (event: StreamEvent) => Promise<void>;
  readonly signal: AbortSignal;
}

/**
 * Hands over the events of a stream as they arrive, whole events only. A stream is complete when
 * its body ended as its framing says and no event is left half.
 *
 * @example
 * const end = await relayStream(answer, { onEvent: forward, signal });
 */
export async function relayStream(
  answer: ReplicaAnswer,
  options: StreamRelayOptions,
): Promise<'broken' | 'complete'> {
  const splitter = new EventSplitter();
  try {
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      for (const event of splitter.push(chunk)) {
        await options.onEvent(event);
      }
      if (options.signal.aborted) {
        answer.discard();
        return 'broken';
      }
    }
  } catch {
    // An error of the body means that the connection was lost; the caller of this function logs it.
    return 'broken';
  }
  return answer.body.complete && splitter.pendingBytes === 0 ? 'complete' : 'broken';
}
