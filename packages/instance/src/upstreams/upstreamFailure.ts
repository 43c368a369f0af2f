import { ZincringError } from '@zincring/core';

/**
 * How far a request to an upstream had come when it failed: `unsent` when nothing was written,
 * `died` when the upstream closed the connection in the middle, `timed-out`, or `failed` with an
 * answer that is no success.
 */
export type UpstreamFailureStage = 'died' | 'failed' | 'timed-out' | 'unsent';

/** A request to an upstream that has no whole answer. */
export class UpstreamFailure extends Error {
  public constructor(
    public readonly stage: UpstreamFailureStage,
    detail: string,
  ) {
    super(detail);
    this.name = 'UpstreamFailure';
  }

  /** The error that callers see. */
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

/** Codes of a connection that was never made. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTDOWN',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/**
 * Sorts whatever a request to an upstream threw.
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
