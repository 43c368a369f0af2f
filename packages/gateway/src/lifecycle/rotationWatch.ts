/** Checks in a row answered "not ready" after which the balancer sends no new callers: its stated rule. */
const CHECKS_UNTIL_OUT = 2;
/** When callers may come back while no instance nearby is ready, in seconds: as long as callers wait at most. */
const OUTAGE_RETRY_SECONDS = 1;

/**
 * Tells an outage of this instance alone from one of most instances of its availability zone. The
 * balancer sends callers to an instance that is out of rotation only when most others are out as well, so a new
 * connection then means that coming back at once would meet the same outage elsewhere.
 *
 * @example
 * rotation.noteCheck(false);
 * rotation.noteCheck(false);
 * rotation.noteConnection();
 * rotation.retryAfterSeconds(0.1); // 1
 */
export class RotationWatch {
  private unreadyChecks = 0;
  private isZoneOut = false;

  /** Takes in the answer to a check of the balancer. */
  public noteCheck(isReady: boolean): void {
    this.unreadyChecks = isReady ? 0 : this.unreadyChecks + 1;
    this.isZoneOut &&= !isReady;
  }

  /** Takes in a new connection of a caller. */
  public noteConnection(): void {
    this.isZoneOut ||= this.unreadyChecks >= CHECKS_UNTIL_OUT;
  }

  /** When a caller may come back for whom this instance is not ready; `usual` holds while others are. */
  public retryAfterSeconds(usual: number | undefined): number | undefined {
    return this.isZoneOut ? OUTAGE_RETRY_SECONDS : usual;
  }
}
