import type {
  AdmissionDecision,
  AdmissionPolicy,
  AdmissionReason,
  AdmissionRequest,
  ServiceLoad,
} from './admissionPolicy.js';

/** Options of a {@link CostAdmission}. Limits are requests in flight for each place. */
export interface CostAdmissionOptions {
  /** Limit of the lowest priority: a short queue keeps the places in use, a longer one delays programs in progress. */
  readonly lowestPriorityLimit: number;
  /** Limit of the highest priority. */
  readonly highestPriorityLimit: number;
  /** Change of the limit of work below the highest priority if most of what asks has a higher one. */
  readonly yieldToHigher: number;
  /** Limit below which nothing is delayed or refused, whoever asks. */
  readonly minimumLimit: number;
  /** Share of what is admitted on the whole that is admitted of each kind of work at least. */
  readonly guaranteedShare: number;
  /** Time in which the service completes as many requests as it has places, in milliseconds. */
  readonly turnoverMilliseconds: number;
  /** Maximum wait for a place as a share of the time within which callers expect a response. */
  readonly maximumWaitShare: number;
}

/** Default options, for engines whose turns take less than a second. */
export const defaultCostAdmissionOptions: CostAdmissionOptions = {
  guaranteedShare: 0.35,
  highestPriorityLimit: 1.5,
  lowestPriorityLimit: 1.2,
  maximumWaitShare: 0.1,
  minimumLimit: 1,
  turnoverMilliseconds: 400,
  yieldToHigher: 0.25,
};

/** Share of starts with a higher priority from which work yields to them in full. */
const MOST_HIGHER_SHARE = 0.2;
/** Change of the limit for each doubling of the work, and its maximum: less than between two priorities. */
const WORK = { maximum: 0.07, perDoubling: 0.05 };
/** Use over that of the mean workspace that counts as within the share. */
const TOLERATED_SHARE_USE = 1.2;
/** Change of the limit for each doubling of the use beyond the share, and its maximum: less than between two priorities. */
const SHARE = { maximum: 0.2, perDoubling: 0.1 };
/** Change of the limit of workspaces within their share if all places were used beyond shares, and its maximum. */
const CROWDING = { factor: 0.5, maximum: 0.15 };
/** Bounds of the time to return, in milliseconds: sooner the load is the same, later a program that starts is late. */
const RETRY_MILLISECONDS = { maximum: 800, minimum: 200 };
/** Share of the time left for which callers wait before they return. */
const USABLE_RETRY_SHARE = 1 / 3;
/** Factor of the time to return for work that would be refused again. */
const REPEATED_REFUSAL_FACTOR = 2;
/** Minimum time between two decisions on waiting work, in milliseconds. */
const MINIMUM_WAIT_MILLISECONDS = 5;

/**
 * Under a burst of more work than a service can do, delays and refuses first what costs callers
 * least. A program in progress loses all its work if it is refused, so only starts are; among these
 * each has a limit of load, which rises with its priority and falls with the work that it needs, with
 * the use of its workspace beyond the fair share and once it cannot end in time. Above its limit a
 * bounded share is admitted as long as others are, so that nothing starves. Unknown load admits.
 *
 * @example
 * const admission = new CostAdmission();
 * admission.decide(start, { admittedShare: 1, perSlot: 1.4 }).kind; // 'refuse'
 */
export class CostAdmission implements AdmissionPolicy {
  public constructor(
    private readonly options: CostAdmissionOptions = defaultCostAdmissionOptions,
  ) {}

  public get minimumLimit(): number {
    return this.options.minimumLimit;
  }

  public decide(request: AdmissionRequest, load: ServiceLoad): AdmissionDecision {
    const { perSlot } = load;
    if (request.stage !== 'program-start' || perSlot === undefined) {
      return { kind: 'admit' };
    }
    const excess = perSlot - this.computeLimit(request);
    if (excess <= 0 || this.isGuaranteed(request, load, perSlot)) {
      return { kind: 'admit' };
    }
    const reason = findReason(request);
    const wait = this.computeWait(request, excess);
    return reason === 'busy' && wait > 0
      ? { kind: 'wait', milliseconds: wait, reason }
      : {
          kind: 'refuse',
          reason,
          retryAfterMilliseconds: this.chooseRetry(request, excess, reason),
        };
  }

  /** Load above which a start is delayed or refused. */
  public computeLimit(request: AdmissionRequest): number {
    const { minimumLimit } = this.options;
    if (!request.canEndInTime) {
      return minimumLimit;
    }
    return Math.max(
      minimumLimit,
      this.computePriorityLimit(request) - computeWorkChange(request) + computeShareChange(request),
    );
  }

  private computePriorityLimit({
    higherPriorityShare,
    lowestPriority,
    priority,
  }: AdmissionRequest): number {
    const { highestPriorityLimit, lowestPriorityLimit, yieldToHigher } = this.options;
    const rank = lowestPriority === 0 ? 0 : Math.min(1, priority / lowestPriority);
    const yielded = yieldToHigher * Math.min(1, higherPriorityShare / MOST_HIGHER_SHARE);
    return highestPriorityLimit - rank * (highestPriorityLimit - lowestPriorityLimit) - yielded;
  }

  /**
   * Whether a start above its limit is admitted all the same because its kind would starve. Nothing is
   * admitted above the limit of the highest priority, where all kinds wait.
   */
  private isGuaranteed(
    { kindAdmittedShare, lowestPriority }: AdmissionRequest,
    { admittedShare }: ServiceLoad,
    perSlot: number,
  ): boolean {
    const { guaranteedShare, highestPriorityLimit, lowestPriorityLimit } = this.options;
    const firstLimit = lowestPriority > 0 ? highestPriorityLimit : lowestPriorityLimit;
    return perSlot <= firstLimit && kindAdmittedShare < guaranteedShare * admittedShare;
  }

  /** Time to wait until there may be a place; 0 if a refusal costs the caller less because it can return in time. */
  private computeWait(request: AdmissionRequest, excess: number): number {
    const { maximumWaitShare, turnoverMilliseconds } = this.options;
    const { remainingMilliseconds, targetMilliseconds, waitedMilliseconds } = request;
    if (computeUsableRetry(request) >= RETRY_MILLISECONDS.minimum) {
      return 0;
    }
    const maximum = maximumWaitShare * Math.min(remainingMilliseconds, targetMilliseconds);
    const wait = Math.max(MINIMUM_WAIT_MILLISECONDS, excess * turnoverMilliseconds);
    return waitedMilliseconds + wait <= maximum ? wait : 0;
  }

  /** Time until the excess has been worked off, spread so that refused callers do not return at once. */
  private chooseRetry(request: AdmissionRequest, excess: number, reason: AdmissionReason): number {
    const factor = reason === 'busy' ? 1 : REPEATED_REFUSAL_FACTOR;
    const milliseconds =
      factor * (RETRY_MILLISECONDS.minimum + excess * this.options.turnoverMilliseconds);
    const maximum = Math.min(factor * RETRY_MILLISECONDS.maximum, computeUsableRetry(request));
    const spread = 0.5 + request.draw;
    return Math.ceil(Math.min(maximum, milliseconds * spread));
  }
}

/** Longest time to return that leaves the caller enough of its own. */
function computeUsableRetry({
  programRemainingMilliseconds = Infinity,
  remainingMilliseconds,
}: AdmissionRequest): number {
  const usable = Math.min(remainingMilliseconds, programRemainingMilliseconds);
  return Math.max(0, usable) * USABLE_RETRY_SHARE;
}

function computeWorkChange({ relativeWork }: AdmissionRequest): number {
  const change = WORK.perDoubling * Math.log2(Math.max(relativeWork, Number.MIN_VALUE));
  return Math.min(WORK.maximum, Math.max(-WORK.maximum, change));
}

function computeShareChange({ crowding, shareUse }: AdmissionRequest): number {
  return shareUse > TOLERATED_SHARE_USE
    ? -Math.min(SHARE.maximum, SHARE.perDoubling * Math.log2(shareUse / TOLERATED_SHARE_USE))
    : Math.min(CROWDING.maximum, CROWDING.factor * crowding);
}

function findReason({ canEndInTime, shareUse }: AdmissionRequest): AdmissionReason {
  if (!canEndInTime) {
    return 'too-late';
  }
  return shareUse > TOLERATED_SHARE_USE ? 'beyond-share' : 'busy';
}
