import type {
  InstanceId,
  Result,
  TimerService,
  WorkspaceName,
  ZincringError,
} from '@zincring/core';

import { hash32, Ok } from '@zincring/core';

import type { GatewayWorkspace } from '../configuration/gatewayConfiguration.js';
import type { CreditSource, NamedRateLimit, RateAdmission } from './creditSource.js';

import { ProgramSizeEstimator } from '@zincring/scheduling';

/** Share of the rate for which new programs are admitted while the workspace is over its rate; the rest is left to programs in progress. */
const PROGRAM_START_SHARE = 0.85;
/** Rate that one bucket can serve, in requests per second: some dozen instances can draw on it without conflicts. */
const BUCKET_RATE_PER_SECOND = 80;
/** Maximum number of buckets of one workspace. */
const MAXIMUM_BUCKETS = 16;
/** Time after which a changed number of buckets no longer matters, in milliseconds: longer than any burst takes to refill. */
const MAXIMUM_IN_USE_MILLISECONDS = 600_000;
const unlimitedAdmission: RateAdmission = { refund: () => undefined };

/** Number of buckets of a workspace, and when this instance saw it change, on the monotonic clock, in milliseconds. */
interface BucketLayout {
  readonly bucketCount: number;
  readonly changedAt: number | undefined;
}

/**
 * Admits requests within the rate and burst that a workspace has over all instances, from the token
 * buckets of the workspace.
 *
 * @example
 * const admission = await rates.admit(workspace, signal, startsProgram);
 */
export class WorkspaceRates {
  /** Covers all workspaces together, since an instance sees few programs of each. */
  private readonly programSizeEstimator = new ProgramSizeEstimator();
  private readonly layouts = new Map<WorkspaceName, BucketLayout>();

  public constructor(
    private readonly instance: InstanceId,
    private readonly credits: CreditSource,
    private readonly timers: TimerService,
  ) {}

  /** Takes in the workspaces of a new configuration: buckets that take the place of others begin empty. */
  public recordWorkspaces(workspaces: readonly GatewayWorkspace[]): void {
    for (const workspace of workspaces) {
      const { name } = workspace;
      const bucketCount = countBuckets(workspace);
      const layout = this.layouts.get(name);
      if (layout?.bucketCount !== bucketCount) {
        const changedAt = layout === undefined ? undefined : this.timers.now();
        this.layouts.set(name, { bucketCount, changedAt });
      }
    }
  }

  /**
   * Acquires credit for one request, or returns why there is none. While a workspace is over its
   * rate, requests that start a program also need credit from a bucket of program starts: programs
   * in progress can then complete.
   */
  public async admit(
    workspace: GatewayWorkspace | undefined,
    signal: AbortSignal,
    startsProgram: () => Promise<boolean>,
  ): Promise<Result<RateAdmission, ZincringError>> {
    if (workspace === undefined || workspace.ratePerSecond <= 0) {
      return Ok(unlimitedAdmission);
    }
    const buckets = this.findBuckets(workspace);
    this.programSizeEstimator.recordRequest();
    if (this.isAnyOverRate(buckets) && (await startsProgram())) {
      const startAdmission = await this.credits.acquire(
        this.createProgramStartBucket(workspace),
        signal,
      );
      if (startAdmission.err) {
        return startAdmission;
      }
    }
    const [primaryBucket, secondaryBucket] = buckets;
    const admission = await this.credits.acquire(primaryBucket, signal);
    const isRateLimited = admission.err && admission.val.kind === 'rate-limited';
    return isRateLimited && secondaryBucket !== undefined
      ? await this.credits.acquire(secondaryBucket, signal)
      : admission;
  }

  /** Whether a workspace recently used more than its rate, as far as this instance knows. */
  public isOverRate(workspace: GatewayWorkspace | undefined): boolean {
    return (
      workspace !== undefined &&
      workspace.ratePerSecond > 0 &&
      this.isAnyOverRate(this.findBuckets(workspace))
    );
  }

  /**
   * Returns the buckets of a workspace that this instance draws on, the primary one first. A
   * workspace with a high rate has several, since one row takes only some hundred writes per second.
   */
  private findBuckets(workspace: GatewayWorkspace): readonly [NamedRateLimit, NamedRateLimit?] {
    const { burst, name, ratePerSecond } = workspace;
    const bucketCount = countBuckets(workspace);
    const use = this.describeUse(name, bucketCount);
    if (bucketCount === 1) {
      return [{ burst, name, ratePerSecond, ...use }];
    }
    const primaryIndex = hash32(this.instance) % bucketCount;
    const createBucket = (bucketIndex: number): NamedRateLimit => ({
      burst: burst / bucketCount,
      name: `${name}/${String(bucketCount)}.${String(bucketIndex)}`,
      ratePerSecond: ratePerSecond / bucketCount,
      slackShare: 1 / bucketCount,
      ...use,
    });
    return [createBucket(primaryIndex), createBucket((primaryIndex + 1) % bucketCount)];
  }

  /** Returns for how long a workspace has had this number of buckets, if that changed of late. */
  private describeUse(
    name: WorkspaceName,
    bucketCount: number,
  ): Pick<NamedRateLimit, 'inUseMilliseconds'> {
    const layout = this.layouts.get(name);
    if (layout !== undefined && layout.bucketCount !== bucketCount) {
      // A request that was accepted under the configuration before.
      return { inUseMilliseconds: 0 };
    }
    const inUseMilliseconds = this.timers.now() - (layout?.changedAt ?? -Infinity);
    return inUseMilliseconds > MAXIMUM_IN_USE_MILLISECONDS ? {} : { inUseMilliseconds };
  }

  /** Records the first turn of a program at this instance. */
  public recordProgramStart(): void {
    this.programSizeEstimator.recordProgramStart();
  }

  /** Returns the bucket that limits program starts to as many programs as the rate can complete. */
  private createProgramStartBucket({
    burst,
    name,
    ratePerSecond,
  }: GatewayWorkspace): NamedRateLimit {
    const { requestsPerProgram } = this.programSizeEstimator;
    return {
      burst: Math.max(1, (burst * PROGRAM_START_SHARE) / requestsPerProgram),
      name: `${name}/programs`,
      ratePerSecond: (ratePerSecond * PROGRAM_START_SHARE) / requestsPerProgram,
    };
  }

  private isAnyOverRate(buckets: readonly (NamedRateLimit | undefined)[]): boolean {
    return buckets.some(bucket => bucket !== undefined && this.credits.isOverRate(bucket));
  }
}

function countBuckets({ ratePerSecond }: GatewayWorkspace): number {
  return Math.max(1, Math.min(MAXIMUM_BUCKETS, Math.round(ratePerSecond / BUCKET_RATE_PER_SECOND)));
}
