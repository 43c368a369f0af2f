import type { AdmissionDecision, Limiter, WorkspaceLimits } from './limiter.js';
import type { Loan, LoanRequest } from './loan.js';
import type { LimiterDependencies } from './workspaceLimiter.js';

import { noLoan } from './loan.js';
import { WorkspaceLimiter } from './workspaceLimiter.js';

/** Retry time given to requests of unknown workspaces. */
const UNKNOWN_WORKSPACE_RETRY_MILLISECONDS = 1_000;

interface RetiredLimiter {
  readonly limiter: WorkspaceLimiter;
  readonly retiredAt: number;
}

/**
 * Enforces limits over a fleet of instances: each instance grants tokens from the seats that it
 * holds and from loans.
 *
 * @example
 * const limiter = new EscrowedLimiter(dependencies);
 * limiter.configure(new Map([['parks', { burst: 2, rate: 1 }]]));
 * const decision = await limiter.admit('parks', 2_000);
 */
export class EscrowedLimiter implements Limiter {
  private readonly limiters = new Map<string, WorkspaceLimiter>();
  /** Limiters of removed workspaces; they are kept because their loans may still be in use. */
  private readonly retiredLimiters = new Map<string, RetiredLimiter>();

  public constructor(private readonly dependencies: LimiterDependencies) {}

  public configure(limits: WorkspaceLimits): void {
    for (const [workspace, limiter] of this.limiters) {
      if (!limits.has(workspace)) {
        limiter.stop();
        this.limiters.delete(workspace);
        this.retiredLimiters.set(workspace, { limiter, retiredAt: this.dependencies.timers.now() });
      }
    }
    for (const [workspace, size] of limits) {
      const existing = this.limiters.get(workspace) ?? this.retiredLimiters.get(workspace)?.limiter;
      this.retiredLimiters.delete(workspace);
      existing?.resize(size);
      this.limiters.set(
        workspace,
        existing ?? new WorkspaceLimiter(workspace, size, this.dependencies),
      );
    }
    this.discardRetiredLimiters();
  }

  public async admit(workspace: string, waitMilliseconds: number): Promise<AdmissionDecision> {
    const limiter = this.limiters.get(workspace);
    return limiter === undefined
      ? { retryMilliseconds: UNKNOWN_WORKSPACE_RETRY_MILLISECONDS, status: 'refused' }
      : await limiter.admit(waitMilliseconds);
  }

  /** Handles the loan request of another instance. */
  public lend(request: LoanRequest): Loan {
    return (
      this.limiters.get(request.workspace)?.lend(request) ??
      noLoan(UNKNOWN_WORKSPACE_RETRY_MILLISECONDS)
    );
  }

  /** Returns everything borrowed, so that the lenders need not wait until the loans expire. */
  public returnLoans(): void {
    for (const limiter of this.limiters.values()) {
      limiter.returnLoans();
    }
  }

  /** Returns everything borrowed and refuses the waiting requests. */
  public stop(): void {
    for (const limiter of this.limiters.values()) {
      limiter.stop();
    }
  }

  private discardRetiredLimiters(): void {
    const retentionStart =
      this.dependencies.timers.now() - 2 * this.dependencies.terms.shareMilliseconds;
    for (const [workspace, { retiredAt }] of this.retiredLimiters) {
      if (retiredAt < retentionStart) {
        this.retiredLimiters.delete(workspace);
      }
    }
  }
}
