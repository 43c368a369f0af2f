import type { HeaderCodec, RequestId, ResponseFacts } from '../callers/requestFacts.js';
import type { ExchangeOutcome, ReplicaResponse, UnansweredExchange } from './replicaExchange.js';

/** Which request a response answers, and how it arrived. */
export interface ResponseIdentity {
  /** Request that the response names; `undefined` if it names none. */
  readonly answeredRequest: string | undefined;
  readonly isConnectionReused: boolean;
  readonly isRefusal: boolean;
  readonly status: number;
}

/** Outcome of an attempt whose response, if there is one, answers the request of the attempt. */
export type IdentifiedOutcome =
  | UnansweredExchange
  | {
      readonly kind: 'answered';
      readonly facts: ResponseFacts;
      readonly response: ReplicaResponse;
    };

/**
 * Matches the response of an exchange to its request. A replica may send a response once more or too late, so the order
 * on a connection does not show which request is answered: only the id does. A refusal proves that a request did not run
 * only if it names this request. A connection with a response to another request is out of step, so it is closed.
 *
 * @example
 * identifyResponse(headerCodec, request.requestId, outcome).kind; // 'foreign' if it names another request
 */
export function identifyResponse(
  headerCodec: HeaderCodec,
  requestId: RequestId | undefined,
  outcome: ExchangeOutcome,
): IdentifiedOutcome {
  if (outcome.kind !== 'answered') {
    return outcome;
  }
  const { response } = outcome;
  const facts = headerCodec.readResponse(response.status, response.headers);
  if (facts.requestId === requestId) {
    return { ...outcome, facts };
  }
  response.discard();
  return {
    foreignResponse: describeIdentity(response, facts),
    isPathFault: false,
    kind: 'foreign',
    reason: 'the answer belongs to another request',
  };
}

/**
 * Describes which request a response answers, for logs and metrics.
 *
 * @example
 * logger.warn({ ...describeIdentity(response, facts) }, 'an attempt was refused');
 */
export function describeIdentity(
  { isConnectionReused, status }: ReplicaResponse,
  { isNotExecuted, requestId }: ResponseFacts,
): ResponseIdentity {
  return { answeredRequest: requestId, isConnectionReused, isRefusal: isNotExecuted, status };
}
