import type { BucketSize } from './tokenBucket.js';

/** Rate and burst of every workspace, by name. */
export type WorkspaceLimits = ReadonlyMap<string, BucketSize>;

/** Whether a request may run. */
export type Admittance =
  | { readonly status: 'granted' }
  | {
      readonly status: 'refused';
      /** When a token can be expected, in milliseconds. */
      readonly retryMilliseconds: number;
    };

/** Admits requests of workspaces within a rate and burst that all instances share. */
export interface Limiter {
  /** Puts rates and bursts in force. */
  configure(limits: WorkspaceLimits): void;
  /**
   * Takes a token of a workspace.
   *
   * @param waitMilliseconds longest time that the request may wait for its token
   */
  admit(workspace: string, waitMilliseconds: number): Promise<Admittance>;
}
