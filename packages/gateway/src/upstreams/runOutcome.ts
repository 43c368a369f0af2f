import type { UpstreamId, ZincringError } from '@zincring/core';

import type { BodyFraming } from '../callers/responseSink.js';
import type { SoftwareVersion } from './replica.js';

/** Outcome of a request. */
export type RunOutcome =
  | { readonly kind: 'aborted'; readonly mayHaveRun: boolean }
  | { readonly kind: 'failed'; readonly error: ZincringError }
  | { readonly kind: 'interrupted' }
  | {
      readonly kind: 'served';
      readonly status: number;
      readonly replica: UpstreamId;
      readonly softwareVersion: SoftwareVersion;
      /** Number of attempts that may have run, including the last one. */
      readonly runs: number;
      readonly body: ForwardedBody;
    };

/** How the body of a response was forwarded. */
export interface ForwardedBody {
  readonly framing: BodyFraming;
  /** Number of events of a stream over all attempts; 0 for other responses. */
  readonly events: number;
}

/**
 * Whether a request has certainly not run.
 *
 * @example
 * hasNotRun({ kind: 'aborted', mayHaveRun: false }); // true
 */
export function hasNotRun(outcome: RunOutcome): boolean {
  return outcome.kind === 'failed'
    ? outcome.error.ran === 'no'
    : outcome.kind === 'aborted' && !outcome.mayHaveRun;
}
