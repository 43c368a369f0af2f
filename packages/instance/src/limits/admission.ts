import type { Result, ZincringError } from '@zincring/core';
import type { WorkspaceRule } from '@zincring/rules';

/** Decides whether a workspace may run one more request. */
export interface Admission {
  /**
   * Takes one token of the workspace, waits for one that comes in time, or refuses at once.
   *
   * @param waitMilliseconds longest time to wait; by default that of the settings
   */
  admit(rule: WorkspaceRule, waitMilliseconds?: number): Promise<Result<void, ZincringError>>;
}
