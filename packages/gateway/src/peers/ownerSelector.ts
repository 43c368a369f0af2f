import type { InstanceId, Logger, TimerService } from '@zincring/core';

import { hash32 } from '@zincring/core';
import { LRUCache } from 'lru-cache';

import type { OwnerFailure } from '../limits/ownedCredit.js';
import type { GatewayPeer } from './gatewayPeer.js';

/** Another instance that may own buckets. */
export interface Owner {
  readonly instance: InstanceId;
  readonly peer: GatewayPeer;
}

/** The other instances that may own buckets. */
export interface OwnerDirectory {
  /** All other registered instances; a new array whenever they change. */
  readonly owners: readonly Owner[];
  /** Time of their last change or of the registration of this instance, on the monotonic clock, in milliseconds. */
  readonly changedAt: number;
  /** Whether the others can know of this instance. */
  readonly isRegistered: boolean;
  /** Time since which this has been so without interruption, on the monotonic clock, in milliseconds. */
  readonly registeredAt: number;
  /** Time since the list was last known to be current, in milliseconds. */
  ageMilliseconds(): number;
}

/** Time for which an instance that failed is not chosen, in milliseconds; it doubles while it does not respond. */
const INITIAL_AVOID_MILLISECONDS = 1_000;
/** Maximum of this time, in milliseconds: instances that are gone for good leave the directory by themselves. */
const MAXIMUM_AVOID_MILLISECONDS = 16_000;

/** Age up to which the list of instances counts as current, in milliseconds: longer than a poll with the pause before it. */
export const MAXIMUM_LIST_AGE_MILLISECONDS = 5_000;
/** Maximum number of keys whose owner is remembered. */
const MAXIMUM_REMEMBERED_KEYS = 5_000;

interface Choice {
  /** `undefined` if this instance owns the key. */
  readonly owner: Owner | undefined;
}

interface AvoidedOwner {
  readonly failures: number;
  readonly until: number;
}

/**
 * Chooses the instance that owns a key by rendezvous hashing: all instances choose the same one
 * without a message, and when an instance leaves, only its keys move. Instances that do not respond
 * are left out for a time; instances that disagree about this only cost calls to the store.
 *
 * @example
 * const owner = selector.choose('clerks'); // undefined: this instance
 */
export class OwnerSelector {
  private readonly avoided = new Map<InstanceId, AvoidedOwner>();
  private readonly choices = new LRUCache<string, Choice>({ max: MAXIMUM_REMEMBERED_KEYS });
  private chosenFrom: readonly Owner[] = [];
  /** Time at which an avoided instance may be chosen again, on the monotonic clock, in milliseconds. */
  private choicesExpireAt = Infinity;

  public constructor(
    private readonly self: InstanceId,
    private readonly directory: OwnerDirectory,
    private readonly timers: TimerService,
    private readonly logger: Logger,
  ) {}

  /** Returns the owner of a key; `undefined` if it is this instance. */
  public choose(key: string): Owner | undefined {
    this.refresh();
    if (this.timers.now() >= this.choicesExpireAt) {
      this.clearChoices();
    }
    const known = this.choices.get(key);
    if (known !== undefined) {
      return known.owner;
    }
    const owner = this.computeOwner(key);
    this.choices.set(key, { owner });
    return owner;
  }

  /** Whether this instance ranks first for a key among all registered instances, including those that do not respond. */
  public ranksFirst(key: string): boolean {
    this.refresh();
    const ownWeight = computeWeight(key, this.self);
    return this.chosenFrom.every(({ instance }) => computeWeight(key, instance) <= ownWeight);
  }

  /** Whether this instance is registered and its list of the others is known to be current. */
  public isCurrent(): boolean {
    const { directory } = this;
    return directory.isRegistered && directory.ageMilliseconds() < MAXIMUM_LIST_AGE_MILLISECONDS;
  }

  /** Time since the registered instances last changed, as far as this instance knows, in milliseconds. */
  public unchangedMilliseconds(): number {
    return this.timers.now() - this.directory.changedAt;
  }

  /** Time since this instance was registered, without interruption, in milliseconds. */
  public registeredMilliseconds(): number {
    return this.timers.now() - this.directory.registeredAt;
  }

  /** Records that an instance could not be used, so that others own its keys for a time. */
  public recordFailure({ instance }: Owner, reason: OwnerFailure): void {
    const now = this.timers.now();
    const previous = this.avoided.get(instance);
    if (previous !== undefined && previous.until > now) {
      return;
    }
    // An owner without the store is alive, and all owners are needed as soon as the store is back.
    const failures = reason === 'unreachable' ? (previous?.failures ?? 0) + 1 : 1;
    const avoidMilliseconds = Math.min(
      MAXIMUM_AVOID_MILLISECONDS,
      INITIAL_AVOID_MILLISECONDS * 2 ** (failures - 1),
    );
    this.avoided.set(instance, { failures, until: now + avoidMilliseconds });
    this.clearChoices();
    if (previous === undefined) {
      this.logger.info(
        { event: 'owner-lost', owner: instance, reason },
        'an instance that owns keys cannot be used; others own them for a time',
      );
    }
  }

  /** Records that an instance responded. */
  public recordSuccess({ instance }: Owner): void {
    if (this.avoided.delete(instance)) {
      this.logger.info(
        { event: 'owner-regained', owner: instance },
        'an instance that owns keys can be used again',
      );
    }
  }

  private refresh(): void {
    const { owners } = this.directory;
    if (this.chosenFrom !== owners) {
      this.chosenFrom = owners;
      this.clearChoices();
    }
  }

  private clearChoices(): void {
    const now = this.timers.now();
    const ends = [...this.avoided.values()].map(({ until }) => until).filter(end => end > now);
    this.choices.clear();
    this.choicesExpireAt = Math.min(Infinity, ...ends);
  }

  private computeOwner(key: string): Owner | undefined {
    const now = this.timers.now();
    let best: Owner | undefined;
    let bestWeight = computeWeight(key, this.self);
    for (const owner of this.chosenFrom) {
      const weight = computeWeight(key, owner.instance);
      const isAvoided = (this.avoided.get(owner.instance)?.until ?? -Infinity) > now;
      if (weight > bestWeight && !isAvoided) {
        best = owner;
        bestWeight = weight;
      }
    }
    return best;
  }
}

function computeWeight(key: string, instance: InstanceId): number {
  return hash32(`${key}/${instance}`);
}
