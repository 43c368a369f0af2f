import type {
  AdmissionDecision,
  AdmissionPolicy,
  AdmissionRequest,
  ServiceLoad,
} from '@zincring/scheduling';

/** The decision of builds up to 09ca40e: one limit for all starts, and one for the highest priority. */
export class SingleLimitAdmission implements AdmissionPolicy {
  public readonly minimumLimit = 1.2;

  public decide({ draw, priority }: AdmissionRequest, { perSlot }: ServiceLoad): AdmissionDecision {
    const excess = (perSlot ?? 0) - (priority === 0 ? 1.5 : this.minimumLimit);
    return excess <= 0
      ? { kind: 'admit' }
      : {
          kind: 'refuse',
          reason: 'busy',
          retryAfterMilliseconds: Math.min(800, (200 + excess * 400) * (0.5 + draw)),
        };
  }
}
