import type { Result, ZincringError } from '@zincring/core';
import type { WorkspaceRule } from '@zincring/rules';

/** Enforces the request rate of each workspace. */
export interface Admission {
  /**
   * Acquires one token of the workspace. Waits if a token is expected within the maximum wait, and
   * refuses immediately if none is.
   *
   * @param maximumWaitMilliseconds that of the settings by default
   */
  admit(
    rule: WorkspaceRule,
    maximumWaitMilliseconds?: number,
  ): Promise<Result<void, ZincringError>>;
}
