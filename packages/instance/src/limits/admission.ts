import type { Result, ZincringError } from '@zincring/core';
import type { WorkspaceRule } from '@zincring/rules';

/** Enforces the request rate of each workspace. */
export interface Admission {
  /**
   * Acquires one token of the workspace. Waits if a token is expected within the maximum wait, and
   * refuses immediately otherwise.
   *
   * @param maximumWaitMilliseconds maximum wait for a token; by default that of the settings
   */
  admit(
    rule: WorkspaceRule,
    maximumWaitMilliseconds?: number,
  ): Promise<Result<void, ZincringError>>;
}
