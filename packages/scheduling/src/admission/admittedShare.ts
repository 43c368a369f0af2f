/** Weight of one decision in the share: an instance sees a few starts a second. */
const DECISION_WEIGHT = 0.05;

/**
 * Share of recent starts that were admitted, from 0 to 1; 1 while there were none.
 *
 * @example
 * admitted.record(false);
 * admitted.share; // 0.95
 */
export class AdmittedShare {
  private currentShare = 1;

  public get share(): number {
    return this.currentShare;
  }

  /** Records a decision on a start. */
  public record(isAdmitted: boolean): void {
    this.currentShare += DECISION_WEIGHT * ((isAdmitted ? 1 : 0) - this.currentShare);
  }
}
