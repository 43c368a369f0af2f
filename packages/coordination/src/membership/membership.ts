import type { AvailabilityZone, IncarnationId, InstanceId, TimerService } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';

/** Another instance, as known to this one. */
export interface Peer {
  readonly id: InstanceId;
  readonly address: string;
  readonly zone: AvailabilityZone;
  /** Incarnation given in the last heartbeat; `undefined` before the first heartbeat. */
  readonly incarnation: IncarnationId | undefined;
  readonly isLeaving: boolean;
}

/** Contents of a heartbeat: identity and state of its sender. */
export interface Heartbeat {
  readonly id: InstanceId;
  readonly address: string;
  readonly zone: AvailabilityZone;
  readonly incarnation: IncarnationId;
  readonly isLeaving: boolean;
}

/** Options of {@link Membership}. */
export interface MembershipOptions {
  readonly timers: TimerService;
  readonly self: InstanceId;
  /** Time for which a peer counts as alive after its last heartbeat, in milliseconds. */
  readonly suspectMilliseconds: number;
}

interface PeerRecord extends Peer {
  readonly lastHeartbeatAt: number;
}

/**
 * Tracks which instances are alive. The platform's directory lists the instances that may exist;
 * it lags behind, so a recent heartbeat takes precedence over it.
 */
export class Membership {
  private readonly peers = new Map<InstanceId, PeerRecord>();
  private isSelfLeaving = false;

  public constructor(private readonly options: MembershipOptions) {}

  /** All known peers, alive or not. */
  public get known(): readonly Peer[] {
    return [...this.peers.values()];
  }

  /** Peers whose last heartbeat is within the suspicion time. */
  public get alive(): readonly Peer[] {
    const earliestHeartbeatAt = this.options.timers.now() - this.options.suspectMilliseconds;
    return [...this.peers.values()].filter(peer => peer.lastHeartbeatAt >= earliestHeartbeatAt);
  }

  /** Applies the platform's directory. Unlisted peers are removed once they are no longer alive. */
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
          lastHeartbeatAt: Number.NEGATIVE_INFINITY,
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

  /** Records a heartbeat of a peer. */
  public recordHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.id === this.options.self) {
      return;
    }
    this.peers.set(heartbeat.id, { ...heartbeat, lastHeartbeatAt: this.options.timers.now() });
  }

  /** Marks this instance as leaving: it is no longer eligible for shards. */
  public leave(): void {
    this.isSelfLeaving = true;
  }

  /** Returns the names of the instances that may hold shards. */
  public eligible(): ReadonlySet<string> {
    const names = new Set<string>(this.alive.filter(peer => !peer.isLeaving).map(peer => peer.id));
    if (!this.isSelfLeaving) {
      names.add(this.options.self);
    }
    return names;
  }

  /** Finds a peer by its name, provided that it is alive. */
  public findAlive(id: InstanceId): Peer | undefined {
    return this.alive.find(peer => peer.id === id);
  }
}
