/** Consecutive unready checks after which the load balancer sends no new callers, by its stated rules. */
const UNREADY_CHECKS_UNTIL_REMOVAL = 2;
/** Retry-After during an outage of most instances of the zone, in seconds: the maximum time that callers wait. */
const ZONE_OUTAGE_RETRY_SECONDS = 1;

/**
 * Distinguishes an outage of this instance alone from an outage of most instances of its
 * availability zone. The load balancer sends callers to an unready instance only when most other
 * instances are unready too, so a new connection to an unready instance means that an immediate
 * retry would reach another unready instance.
 *
 * @example
 * detector.recordReadinessCheck(false);
 * detector.recordReadinessCheck(false);
 * detector.recordConnection();
 * detector.retryAfterSeconds(0.1); // 1
 */
export class ZoneOutageDetector {
  private consecutiveUnreadyChecks = 0;
  private isZoneUnavailable = false;

  /** Records the result of a readiness check by the load balancer. */
  public recordReadinessCheck(isReady: boolean): void {
    this.consecutiveUnreadyChecks = isReady ? 0 : this.consecutiveUnreadyChecks + 1;
    this.isZoneUnavailable &&= !isReady;
  }

  /** Records a new connection of a caller. */
  public recordConnection(): void {
    this.isZoneUnavailable ||= this.consecutiveUnreadyChecks >= UNREADY_CHECKS_UNTIL_REMOVAL;
  }

  /**
   * Retry-After for a caller that is refused because this instance is not ready, in seconds:
   * `defaultSeconds` unless the zone has an outage.
   */
  public retryAfterSeconds(defaultSeconds: number | undefined): number | undefined {
    return this.isZoneUnavailable ? ZONE_OUTAGE_RETRY_SECONDS : defaultSeconds;
  }
}
