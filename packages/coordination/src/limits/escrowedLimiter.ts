import type { Admittance, Limiter, WorkspaceLimits } from './limiter.js';
import type { Loan, LoanRequest } from './loan.js';
import type { LimiterParts } from './workspaceLimiter.js';

import { noLoan } from './loan.js';
import { WorkspaceLimiter } from './workspaceLimiter.js';

/** When to ask again for a workspace that is not known. */
const UNKNOWN_RETRY_MILLISECONDS = 1_000;

interface RetiredLimiter {
  readonly limiter: WorkspaceLimiter;
  readonly since: number;
}

/**
 * Limits over a fleet of instances: each grants from the seats that it holds and from loans.
 *
 * @example
 * const limiter = new EscrowedLimiter(parts);
 * limiter.configure(new Map([['parks', { burst: 2, rate: 1 }]]));
 * const admittance = await limiter.admit('parks', 2_000);
 */
export class EscrowedLimiter implements Limiter {
  private readonly limiters = new Map<string, WorkspaceLimiter>();
  /** Limiters of workspaces that were removed, with the time: their loans may still be in use. */
  private readonly retired = new Map<string, RetiredLimiter>();

  public constructor(private readonly parts: LimiterParts) {}

  public configure(limits: WorkspaceLimits): void {
    for (const [workspace, limiter] of this.limiters) {
      if (!limits.has(workspace)) {
        limiter.stop();
        this.limiters.delete(workspace);
        this.retired.set(workspace, { limiter, since: this.parts.timers.now() });
      }
    }
    for (const [workspace, size] of limits) {
      const known = this.limiters.get(workspace) ?? this.retired.get(workspace)?.limiter;
      this.retired.delete(workspace);
      known?.resize(size);
      this.limiters.set(workspace, known ?? new WorkspaceLimiter(workspace, size, this.parts));
    }
    this.forgetRetired();
  }

  public async admit(workspace: string, waitMilliseconds: number): Promise<Admittance> {
    const limiter = this.limiters.get(workspace);
    return limiter === undefined
      ? { retryMilliseconds: UNKNOWN_RETRY_MILLISECONDS, status: 'refused' }
      : await limiter.admit(waitMilliseconds);
  }

  /** Answers another instance that asks for a loan. */
  public lend(request: LoanRequest): Loan {
    return (
      this.limiters.get(request.workspace)?.lend(request) ?? noLoan(UNKNOWN_RETRY_MILLISECONDS)
    );
  }

  /** Gives everything borrowed back, so that others need not wait for the loans' end. */
  public returnAll(): void {
    for (const limiter of this.limiters.values()) {
      limiter.returnAll();
    }
  }

  /** Gives everything borrowed back and refuses those that wait. */
  public stop(): void {
    for (const limiter of this.limiters.values()) {
      limiter.stop();
    }
  }

  private forgetRetired(): void {
    const oldest = this.parts.timers.now() - 2 * this.parts.terms.shareMilliseconds;
    for (const [workspace, { since }] of this.retired) {
      if (since < oldest) {
        this.retired.delete(workspace);
      }
    }
  }
}
