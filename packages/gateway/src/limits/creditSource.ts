import type { Result, ZincringError } from '@zincring/core';

import type { RateLimit } from './workspaceBucket.js';

/** Admission of a request within the rate of its workspace. */
export interface RateAdmission {
  /** Refunds the credit of a request that did not run. */
  refund(): void;
}

/** Rate limit of one bucket and the key of its row. */
export interface NamedRateLimit extends RateLimit {
  readonly name: string;
}

/** Provides credit from the buckets of workspaces. */
export interface CreditSource {
  /** Acquires credit for one request, or returns why there is none. */
  acquire(
    bucket: NamedRateLimit,
    signal: AbortSignal,
  ): Promise<Result<RateAdmission, ZincringError>>;
  /** Whether the workspace of a bucket recently used more than its rate, as far as this instance knows. */
  isOverRate(bucket: NamedRateLimit): boolean;
}
