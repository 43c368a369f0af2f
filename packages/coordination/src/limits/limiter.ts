import type { BucketSize } from './tokenBucket.js';

/** Rate and burst of every workspace, by name. */
export type WorkspaceLimits = ReadonlyMap<string, BucketSize>;

/** Outcome of a request for a token. */
export type AdmissionDecision =
  | { readonly status: 'granted' }
  | {
      readonly status: 'refused';
      /** Time after which a token can be expected, in milliseconds. */
      readonly retryMilliseconds: number;
    };

/** Admits requests of workspaces within rates and bursts that all instances share. */
export interface Limiter {
  /** Applies rates and bursts. Requests of workspaces that are not among them are refused. */
  configure(limits: WorkspaceLimits): void;
  /**
   * Acquires a token of a workspace, waiting for it if necessary.
   *
   * @param waitMilliseconds maximum time that the request may wait for its token
   */
  admit(workspace: string, waitMilliseconds: number): Promise<AdmissionDecision>;
}
