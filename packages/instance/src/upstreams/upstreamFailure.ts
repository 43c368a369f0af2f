import { ZincringError } from '@zincring/core';

/**
 * Stage at which a request to an upstream failed: `unsent` if nothing was sent, `died` if the
 * upstream closed the connection before the end of the response, `timed-out`, or `failed` if the
 * response reports an error.
 */
export type UpstreamFailureStage = 'died' | 'failed' | 'timed-out' | 'unsent';

/** Failure of a request to an upstream, which got no complete, successful response. */
export class UpstreamFailure extends Error {
  public constructor(
    public readonly stage: UpstreamFailureStage,
    detail: string,
  ) {
    super(detail);
    this.name = 'UpstreamFailure';
  }

  /** Converts the failure into the error that callers receive. */
  public toZincringError(): ZincringError {
    switch (this.stage) {
      case 'unsent':
        return new ZincringError('upstream-unavailable');
      case 'died':
        return new ZincringError('upstream-failed', {
          detail: 'the upstream closed the connection',
        });
      case 'failed':
        return new ZincringError('upstream-failed', { detail: this.message });
      case 'timed-out':
        return new ZincringError('deadline-exceeded');
    }
  }
}

/** Error codes of connections that were never established. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTDOWN',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/**
 * Converts any value thrown by a request to an upstream into an {@link UpstreamFailure}.
 *
 * @example
 * classifyUpstreamFailure(error).stage; // 'died'
 */
export function classifyUpstreamFailure(thrown: unknown): UpstreamFailure {
  if (thrown instanceof UpstreamFailure) {
    return thrown;
  }
  const { code, message, name } = thrown as {
    readonly code?: string;
    readonly message?: string;
    readonly name?: string;
  };
  const detail = message ?? 'the request failed';
  if (code !== undefined && UNSENT_CODES.has(code)) {
    return new UpstreamFailure('unsent', detail);
  }
  if (name === 'AbortError' || name === 'TimeoutError' || code === 'ABORT_ERR') {
    return new UpstreamFailure('timed-out', detail);
  }
  return new UpstreamFailure('died', detail);
}
