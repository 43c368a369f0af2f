/** Kind of work that asks for a place at a service. */
export type WorkStage = 'call' | 'program-start' | 'program-turn';

/** Work that asks for a place at a service. Times are in milliseconds. */
export interface AdmissionRequest {
  readonly stage: WorkStage;
  /** Priority that the operator gave to the request; 0 is the highest. */
  readonly priority: number;
  /** Lowest priority that the operator uses. */
  readonly lowestPriority: number;
  /** Share of recent starts that have a higher priority, from 0 to 1. */
  readonly higherPriorityShare: number;
  /** Time until the caller gives the request up. */
  readonly remainingMilliseconds: number;
  /** Time within which callers expect the first part of the response. */
  readonly targetMilliseconds: number;
  /** Time until the program should have ended; `undefined` outside programs. */
  readonly programRemainingMilliseconds: number | undefined;
  /** Whether the work can still end in time, as far as is known. */
  readonly canEndInTime: boolean;
  /** Work that it needs, relative to the mean of those that ask for the service; 1 if not known. */
  readonly relativeWork: number;
  /** Use of its workspace over that of the mean workspace; 1 or less within the fair share. */
  readonly shareUse: number;
  /** Share of the places that workspaces use beyond their fair shares, from 0 to 1. */
  readonly crowding: number;
  /** Share of recent starts of its kind that were admitted, from 0 to 1. */
  readonly kindAdmittedShare: number;
  /** Random number from 0 to 1 that stays the same while the work waits. */
  readonly draw: number;
  /** Time that it has waited for a place. */
  readonly waitedMilliseconds: number;
}

/** What is known of the load of a service. */
export interface ServiceLoad {
  /** Requests in flight relative to the places; `undefined` if not known. */
  readonly perSlot: number | undefined;
  /** Share of recent starts that were admitted, from 0 to 1. */
  readonly admittedShare: number;
}

/** Why work does not get a place now. */
export type AdmissionReason = 'beyond-share' | 'busy' | 'too-late';

/** Refusal of work that has not run. */
export interface AdmissionRefusal {
  readonly kind: 'refuse';
  readonly reason: AdmissionReason;
  readonly retryAfterMilliseconds: number;
}

/** Decision on work that asks for a place. */
export type AdmissionDecision =
  | AdmissionRefusal
  | { readonly kind: 'admit' }
  | {
      readonly kind: 'wait';
      readonly reason: AdmissionReason;
      /** Time after which to ask again. */
      readonly milliseconds: number;
    };

/** Decides which work gets a place while a service has too few. */
export interface AdmissionPolicy {
  /** Load below which all work is admitted, in requests in flight for each place. */
  readonly minimumLimit: number;
  /** Decides on work that asks for a place. */
  decide(request: AdmissionRequest, load: ServiceLoad): AdmissionDecision;
}
