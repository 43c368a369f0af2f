import type { InstanceId, TimerService } from '@zincring/core';

/** Options of {@link ConfigurationFreshness}. */
export interface ConfigurationFreshnessOptions {
  readonly timers: TimerService;
  /** Time for which the configuration counts as current after a confirmation, in milliseconds. */
  readonly contactMilliseconds: number;
  /** Returns the other known instances, alive or not. */
  readonly listOtherInstances: () => readonly InstanceId[];
}

/** Time for which reports of peers are ignored after a pause of this process, in milliseconds. */
const IGNORE_PEER_REPORTS_MILLISECONDS = 1_000;
/** Number of peers with a report above which those that are no longer known are removed. */
const MAXIMUM_PEERS_BEFORE_PRUNING = 1_024;

/**
 * Determines whether the configuration in force is current. A read of the store, by this instance
 * or by a peer, that found nothing newer confirms it for the contact time. Without such a read, if
 * this instance hears from a majority of the instances and none of them can read the store either,
 * the store is unavailable to all of them, and no version is newer than those the peers know.
 */
export class ConfigurationFreshness {
  private readonly lastReportAt = new Map<InstanceId, number>();
  private storeReadAt: number | undefined;
  private confirmedCurrentAt = Number.NEGATIVE_INFINITY;
  private lastActiveAt: number;
  private ignorePeerReportsUntil = Number.NEGATIVE_INFINITY;

  public constructor(private readonly options: ConfigurationFreshnessOptions) {
    this.lastActiveAt = options.timers.now();
  }

  /** Whether every version accepted before the contact time is confirmed to be in force. */
  public get isConfirmedCurrent(): boolean {
    return this.options.timers.now() < this.confirmedCurrentAt + this.options.contactMilliseconds;
  }

  /** Whether a majority of the instances, this one included, was heard from recently. */
  public get hearsFromMajority(): boolean {
    const others = this.options.listOtherInstances();
    const windowStart = this.options.timers.now() - this.options.contactMilliseconds;
    const heardCount = others.filter(
      peer => (this.lastReportAt.get(peer) ?? windowStart) > windowStart,
    ).length;
    return (heardCount + 1) * 2 > others.length + 1;
  }

  /** Age of the state last read from the store, in milliseconds; `undefined` before the first. */
  public get storeAgeMilliseconds(): number | undefined {
    return this.storeReadAt === undefined
      ? undefined
      : this.options.timers.now() - this.storeReadAt;
  }

  /** Whether the store itself was read within half the contact time. */
  public get hasReadStoreRecently(): boolean {
    const age = this.storeAgeMilliseconds ?? Number.POSITIVE_INFINITY;
    return age < this.options.contactMilliseconds / 2;
  }

  /**
   * Records a successful read of the store, with the time at which its request was sent.
   *
   * @param isCurrent whether the newest version in the store is in force
   */
  public recordStoreRead(sentAt: number, isCurrent: boolean): void {
    this.recordActivity();
    this.storeReadAt = Math.max(this.storeReadAt ?? sentAt, sentAt);
    if (isCurrent) {
      this.confirmedCurrentAt = Math.max(this.confirmedCurrentAt, sentAt);
    }
  }

  /**
   * Records a report of a peer, with the age of the peer's own last read of the store.
   *
   * @param isCurrent whether the newest version that the peer knows is in force here
   */
  public recordPeerReport(
    peer: InstanceId,
    storeAgeMilliseconds: number | undefined,
    isCurrent: boolean,
  ): void {
    this.recordActivity();
    const now = this.options.timers.now();
    if (now < this.ignorePeerReportsUntil) {
      return;
    }
    this.lastReportAt.set(peer, now);
    this.removeUnknownPeers();
    if (isCurrent && storeAgeMilliseconds !== undefined) {
      this.confirmedCurrentAt = Math.max(
        this.confirmedCurrentAt,
        now - Math.max(0, storeAgeMilliseconds),
      );
    }
  }

  /**
   * Records that this process is running. After a pause longer than the contact time, reports that
   * peers sent during the pause may still be unread; as they are outdated and confirm nothing,
   * reports are then ignored for a short time.
   */
  public recordActivity(): void {
    const now = this.options.timers.now();
    if (now - this.lastActiveAt > this.options.contactMilliseconds) {
      this.ignorePeerReportsUntil = now + IGNORE_PEER_REPORTS_MILLISECONDS;
      this.lastReportAt.clear();
    }
    this.lastActiveAt = now;
  }

  private removeUnknownPeers(): void {
    if (this.lastReportAt.size <= MAXIMUM_PEERS_BEFORE_PRUNING) {
      return;
    }
    const others = new Set(this.options.listOtherInstances());
    for (const peer of this.lastReportAt.keys()) {
      if (!others.has(peer)) {
        this.lastReportAt.delete(peer);
      }
    }
  }
}
