import type { BodyFraming } from '../callers/responseSink.js';
import type { ReplicaRunId } from '../upstreams/replica.js';

import { isTextList } from '../util/jsonFields.js';
import type { UnansweredExchange } from '../upstreams/replicaExchange.js';

/**
 * Request that one instance relays to a replica for another one. It is a POST to {@link RELAY_PATH} with
 * `Expect: 100-continue`: the body follows only once the relaying instance has accepted it, so a
 * request that was not accepted has certainly not run.
 */
export interface RelayedRequest {
  readonly method: string;
  readonly path: string;
  /** Headers for the replica as a flat list of names and values. */
  readonly headers: readonly string[];
  /** Whether the request may be sent again if its outcome is unknown. */
  readonly isRepeatable: boolean;
  readonly body: Buffer;
}

/** How a relaying instance ends a request that no replica responded to; `unavailable` if another instance may relay it. */
export type RelayFailure = UnansweredExchange['kind'] | 'unavailable';

/** Prefix of the path of a relayed request, followed by the run of the replica. */
export const RELAY_PATH = '/relay/';
/**
 * Header with the outcome of a relayed request: a {@link RelayFailure} with a reason, or `answered` with the framing of
 * the replica's body. The relayed body is always in chunks, so that its end is marked.
 */
export const RELAY_OUTCOME_HEADER = 'zincring-relay';

const LINE_FEED = 0x0a;
const framings: readonly BodyFraming[] = ['chunked', 'connection', 'length'];
const failures: readonly RelayFailure[] = ['foreign', 'lost', 'not-sent', 'unavailable'];

/**
 * Encodes a relayed request: a line of JSON, then the body.
 *
 * @example
 * encodeRelayedRequest({ body, headers: [], isRepeatable: true, method: 'GET', path: '/7' });
 */
export function encodeRelayedRequest({ body, ...head }: RelayedRequest): Buffer {
  return Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), body]);
}

/**
 * Decodes a relayed request; `undefined` if the content is none.
 *
 * @example
 * decodeRelayedRequest(content)?.path; // '/7'
 */
export function decodeRelayedRequest(content: Buffer): RelayedRequest | undefined {
  const lineEnd = content.indexOf(LINE_FEED);
  if (lineEnd === -1) {
    return undefined;
  }
  try {
    const head = JSON.parse(content.subarray(0, lineEnd).toString()) as Partial<RelayedRequest>;
    const { headers, isRepeatable, method, path } = head;
    return typeof method === 'string' &&
      typeof path === 'string' &&
      typeof isRepeatable === 'boolean' &&
      isTextList(headers)
      ? { body: content.subarray(lineEnd + 1), headers, isRepeatable, method, path }
      : undefined;
  } catch {
    // Text that is no JSON is reported like any other content that is no request.
    return undefined;
  }
}

/**
 * Makes the path of a relayed request.
 *
 * @example
 * makeRelayPath('r1@17' as ReplicaRunId); // '/relay/r1%4017'
 */
export function makeRelayPath(run: ReplicaRunId): string {
  return `${RELAY_PATH}${encodeURIComponent(run)}`;
}

/**
 * Reads the run of the replica from the path of a relayed request; `undefined` for other paths.
 *
 * @example
 * readRelayPath('/relay/r1%4017'); // 'r1@17'
 */
export function readRelayPath(path: string): ReplicaRunId | undefined {
  return path.startsWith(RELAY_PATH)
    ? (decodeURIComponent(path.slice(RELAY_PATH.length)) as ReplicaRunId)
    : undefined;
}

/** Outcome of a relayed request as its header states it. */
export type RelayedOutcome =
  | { readonly kind: 'answered'; readonly framing: BodyFraming }
  | { readonly kind: RelayFailure; readonly reason: string };

/**
 * Reads the header with the outcome of a relayed request. Anything unreadable may have run.
 *
 * @example
 * readRelayOutcome('answered chunked');
 * readRelayOutcome('not-sent the replica is draining');
 */
export function readRelayOutcome(value: string): RelayedOutcome {
  const [kind = '', ...rest] = value.split(' ');
  const detail = rest.join(' ');
  const framing = framings.find(each => each === detail);
  if (kind === 'answered' && framing !== undefined) {
    return { framing, kind };
  }
  const failure = failures.find(each => each === kind) ?? 'lost';
  return { kind: failure, reason: detail };
}
