/**
 * Checks of the clients of all listeners, which share one timer: each wake-up of an idle process costs
 * more than the checks.
 *
 * @example
 * checks.add(now => closeSilentClients(now));
 * timers.every(1_000, () => checks.run(timers.now()));
 */
export class ClientChecks {
  private readonly checks: ((now: number) => void)[] = [];

  /** Adds a check, which gets the time on the monotonic clock in milliseconds. */
  public add(check: (now: number) => void): void {
    this.checks.push(check);
  }

  /** Runs all checks. */
  public run(now: number): void {
    this.checks.forEach(check => {
      check(now);
    });
  }
}
