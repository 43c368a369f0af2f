import type { AvailabilityZone, IncarnationId, InstanceId, TimerService } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';

/** Another instance as this one sees it. */
export interface Peer {
  readonly id: InstanceId;
  readonly address: string;
  readonly zone: AvailabilityZone;
  /** Incarnation last heard of; `undefined` before the first heartbeat. */
  readonly incarnation: IncarnationId | undefined;
  readonly isLeaving: boolean;
}

/** What a heartbeat tells of its sender. */
export interface Heartbeat {
  readonly id: InstanceId;
  readonly address: string;
  readonly zone: AvailabilityZone;
  readonly incarnation: IncarnationId;
  readonly isLeaving: boolean;
}

/** How membership judges. */
export interface MembershipOptions {
  readonly timers: TimerService;
  readonly self: InstanceId;
  /** How long a peer counts as alive after it was last heard, in milliseconds. */
  readonly suspectMilliseconds: number;
}

interface PeerRecord extends Peer {
  readonly heardAt: number;
}

/**
 * Which instances are alive: the platform's list says who may exist, heartbeats overrule its lag.
 */
export class Membership {
  private readonly peers = new Map<InstanceId, PeerRecord>();
  private isSelfLeaving = false;

  public constructor(private readonly options: MembershipOptions) {}

  /** Every peer known, alive or not. */
  public get known(): readonly Peer[] {
    return [...this.peers.values()];
  }

  /** Peers heard of within the suspicion time. */
  public get alive(): readonly Peer[] {
    const oldest = this.options.timers.now() - this.options.suspectMilliseconds;
    return [...this.peers.values()].filter(peer => peer.heardAt >= oldest);
  }

  /** Takes over the platform's list. Instances that have left it are forgotten once silent. */
  public updateFromDirectory(entries: readonly DirectoryEntry[]): void {
    const listed = new Set<string>();
    for (const entry of entries) {
      listed.add(entry.id);
      const id = entry.id as InstanceId;
      if (entry.role.kind !== 'entry' || id === this.options.self) {
        continue;
      }
      const known = this.peers.get(id);
      if (known === undefined) {
        this.peers.set(id, {
          address: entry.address,
          heardAt: Number.NEGATIVE_INFINITY,
          id,
          incarnation: undefined,
          isLeaving: entry.state === 'leaving',
          zone: entry.zone,
        });
      }
    }
    const alive = new Set(this.alive.map(peer => peer.id));
    for (const id of this.peers.keys()) {
      if (!listed.has(id) && !alive.has(id)) {
        this.peers.delete(id);
      }
    }
  }

  /** Notes that a peer was heard. */
  public heard(heartbeat: Heartbeat): void {
    if (heartbeat.id === this.options.self) {
      return;
    }
    this.peers.set(heartbeat.id, { ...heartbeat, heardAt: this.options.timers.now() });
  }

  /** Announces that this instance leaves: it is no longer eligible for shards. */
  public leave(): void {
    this.isSelfLeaving = true;
  }

  /** Names of the instances that should hold shards. */
  public eligible(): ReadonlySet<string> {
    const names = new Set<string>(this.alive.filter(peer => !peer.isLeaving).map(peer => peer.id));
    if (!this.isSelfLeaving) {
      names.add(this.options.self);
    }
    return names;
  }

  /** The live peer of a name. */
  public find(id: InstanceId): Peer | undefined {
    return this.alive.find(peer => peer.id === id);
  }
}
