import type { EventGroup } from '../callers/eventSplitter.js';
import type { ReplicaResponse } from './replicaExchange.js';

import { EventSplitter } from '../callers/eventSplitter.js';
import { toHeaderMap } from '../util/headerList.js';

/** Maximum size of an incomplete event, in bytes: far more than any event has. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** Options of {@link relayStream}. */
export interface StreamRelayOptions {
  /** Called with what arrived together; returns whether to go on, otherwise the response is discarded. */
  readonly onEvents: (group: EventGroup) => Promise<boolean>;
  readonly signal: AbortSignal;
}

/**
 * How a stream ended: `complete` if its framing shows it, or its connection was closed between two
 * events; `stopped` if the receiver of the events did not want to go on, `broken` otherwise.
 */
export type StreamEnd = 'broken' | 'complete' | 'stopped';

const STATUS_OK = 200;
const EVENT_STREAM = /^text\/event-stream\b/i;

/**
 * Whether a response is a stream of events. Only such a response goes on with a stream that has begun: the end or
 * the body of another one would be taken for those of the stream.
 *
 * @example
 * isEventStream({ headers: ['Content-Type', 'text/event-stream'], status: 200 }); // true
 */
export function isEventStream(response: Pick<ReplicaResponse, 'headers' | 'status'>): boolean {
  return response.status === STATUS_OK && EVENT_STREAM.test(findContentType(response) ?? '');
}

/**
 * Describes what kind of response a head announces, for logs.
 *
 * @example
 * describeHead({ headers: ['Content-Type', 'text/html'], status: 200 }); // '200 (text/html)'
 */
export function describeHead(response: Pick<ReplicaResponse, 'headers' | 'status'>): string {
  return `${String(response.status)} (${findContentType(response) ?? 'no content type'})`;
}

function findContentType({ headers }: Pick<ReplicaResponse, 'headers'>): string | undefined {
  return toHeaderMap(headers).get('content-type');
}

/**
 * Forwards the events of a stream as they arrive, each only when it is complete, and those that arrive together
 * in one piece. A stream that ends inside an event, or with its connection before any event, is broken, and so is one with an
 * event that exceeds the maximum size, or with text that is no event, such as the head of another response.
 *
 * @example
 * const end = await relayStream(response, { onEvents: forward, signal });
 */
export async function relayStream(
  response: ReplicaResponse,
  options: StreamRelayOptions,
): Promise<StreamEnd> {
  const eventSplitter = new EventSplitter();
  let hasEvents = false;
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      const group = eventSplitter.push(chunk);
      hasEvents ||= group.events.length > 0;
      if (group.bytes.length > 0 && !(await options.onEvents(group))) {
        response.discard();
        return 'stopped';
      }
      const isTooLarge = eventSplitter.pendingBytes > MAXIMUM_EVENT_BYTES;
      if (options.signal.aborted || group.hasOtherText || isTooLarge) {
        response.discard();
        return 'broken';
      }
    }
  } catch {
    // An error while reading the body means that the connection was lost; the caller of this function logs it.
    return 'broken';
  }
  if (!response.body.complete || eventSplitter.pendingBytes > 0) {
    return 'broken';
  }
  return hasEvents || response.framing !== 'connection' ? 'complete' : 'broken';
}
