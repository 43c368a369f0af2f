import type { Result, TimerService, WorkspaceName, ZincringError } from '@zincring/core';
import type { WorkspaceRule } from '@zincring/rules';

import { Err, Ok, ZincringError as ZincringErrorClass } from '@zincring/core';
import { TokenBucket } from '@zincring/coordination';

/** Decides whether a workspace may run one more request. */
export interface Admission {
  /** Takes one token of the workspace, or refuses. */
  admit(rule: WorkspaceRule): Promise<Result<void, ZincringError>>;
}

/** Gives each instance a fixed share of every rate. */
export class StaticAdmission implements Admission {
  private readonly buckets = new Map<WorkspaceName, TokenBucket>();

  public constructor(
    private readonly timers: TimerService,
    /** Number of instances that share the rate. */
    private readonly instanceCount: () => number,
  ) {}

  public async admit(rule: WorkspaceRule): Promise<Result<void, ZincringError>> {
    const now = this.timers.now();
    const share = 1 / Math.max(1, this.instanceCount());
    const size = { burst: Math.max(1, rule.burst * share), rate: rule.rate * share };
    const bucket = this.buckets.get(rule.name) ?? new TokenBucket(size, now - 1_000);
    this.buckets.set(rule.name, bucket);
    bucket.resize(now, size);
    const outcome = bucket.take(now, 1)
      ? Ok(undefined)
      : Err(new ZincringErrorClass('rate-limited'));
    return await Promise.resolve(outcome);
  }
}
