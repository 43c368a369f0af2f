import type { InstanceId, TimerService } from '@zincring/core';

/** What judging the contact needs. */
export interface ConfigurationContactOptions {
  readonly timers: TimerService;
  /** How long the configuration counts as current after it was seen to be, in milliseconds. */
  readonly contactMilliseconds: number;
  /** The other instances that are known, alive or not. */
  readonly others: () => readonly InstanceId[];
}

/** How long peers are not believed after a pause of this process, in milliseconds. */
const DISTRUST_MILLISECONDS = 1_000;
/** Peers heard of before those that are no longer known are looked for. */
const PEERS_KEPT_UNCHECKED = 1_024;

/**
 * Judges whether the configuration in force is current: a look at the store, by this instance or
 * by a peer, that showed nothing newer vouches for the contact time. Without one, when this
 * instance hears most of the instances and none of them can see the store either, the store is
 * out for all, and there can be nothing newer than what the peers know.
 */
export class ConfigurationContact {
  private readonly heardAt = new Map<InstanceId, number>();
  private storeSeenAt: number | undefined;
  private currentAsOf = Number.NEGATIVE_INFINITY;
  private lastActiveAt: number;
  private distrustUntil = Number.NEGATIVE_INFINITY;

  public constructor(private readonly options: ConfigurationContactOptions) {
    this.lastActiveAt = options.timers.now();
  }

  /** Whether everything accepted before the contact time has been seen to be in force. */
  public get isVouchedFor(): boolean {
    return this.options.timers.now() < this.currentAsOf + this.options.contactMilliseconds;
  }

  /** Whether most of the instances are heard. */
  public get hearsMost(): boolean {
    const others = this.options.others();
    const oldest = this.options.timers.now() - this.options.contactMilliseconds;
    const heard = others.filter(peer => (this.heardAt.get(peer) ?? oldest) > oldest).length;
    return (heard + 1) * 2 > others.length + 1;
  }

  /** Milliseconds since the state of the store that was last read; `undefined` before the first. */
  public get storeAgeMilliseconds(): number | undefined {
    return this.storeSeenAt === undefined
      ? undefined
      : this.options.timers.now() - this.storeSeenAt;
  }

  /** Whether the store itself was read within half the contact time. */
  public get seesStore(): boolean {
    const age = this.storeAgeMilliseconds ?? Number.POSITIVE_INFINITY;
    return age < this.options.contactMilliseconds / 2;
  }

  /**
   * Notes that the store answered a question sent at a time.
   *
   * @param isCurrent whether all that the store has is in force
   */
  public sawStore(sentAt: number, isCurrent: boolean): void {
    this.noteActivity();
    this.storeSeenAt = Math.max(this.storeSeenAt ?? sentAt, sentAt);
    if (isCurrent) {
      this.currentAsOf = Math.max(this.currentAsOf, sentAt);
    }
  }

  /**
   * Notes what a peer tells of its own look at the store.
   *
   * @param isCurrent whether all that the peer knows of is in force here
   */
  public heard(
    peer: InstanceId,
    storeAgeMilliseconds: number | undefined,
    isCurrent: boolean,
  ): void {
    this.noteActivity();
    const now = this.options.timers.now();
    if (now < this.distrustUntil) {
      return;
    }
    this.heardAt.set(peer, now);
    this.forgetStrangers();
    if (isCurrent && storeAgeMilliseconds !== undefined) {
      this.currentAsOf = Math.max(this.currentAsOf, now - Math.max(0, storeAgeMilliseconds));
    }
  }

  /**
   * Notes that this process runs. After a pause longer than the contact time, what peers sent
   * during it is still waiting to be read and vouches for nothing.
   */
  public noteActivity(): void {
    const now = this.options.timers.now();
    if (now - this.lastActiveAt > this.options.contactMilliseconds) {
      this.distrustUntil = now + DISTRUST_MILLISECONDS;
      this.heardAt.clear();
    }
    this.lastActiveAt = now;
  }

  private forgetStrangers(): void {
    if (this.heardAt.size <= PEERS_KEPT_UNCHECKED) {
      return;
    }
    const others = new Set(this.options.others());
    for (const peer of this.heardAt.keys()) {
      if (!others.has(peer)) {
        this.heardAt.delete(peer);
      }
    }
  }
}
