import type { UpstreamId } from '@zincring/core';
import type { ConcurrencyWindowOptions } from '@zincring/scheduling';

import { ConcurrencyWindow } from '@zincring/scheduling';

import type { Replica } from './replicaTable.js';
import type { PlaceEnd } from './serviceLane.js';

/** The windows of the replicas of one service. */
export class ReplicaWindows {
  private readonly windows = new Map<UpstreamId, ConcurrencyWindow>();

  public constructor(
    /** Options of a window as the rule and the number of instances give them now. */
    private readonly options: () => ConcurrencyWindowOptions,
  ) {}

  /** Forgets the windows of replicas that are no longer used, once nothing is in flight. */
  public retain(replicas: readonly Replica[]): void {
    const kept = new Set(replicas.map(replica => replica.id));
    for (const [id, window] of this.windows) {
      window.reconfigure(this.options());
      if (!kept.has(id) && window.used === 0) {
        this.windows.delete(id);
      }
    }
  }

  /** Whether one more call may be sent to a replica. */
  public hasRoom(replica: UpstreamId, now: number): boolean {
    return this.windowOf(replica).hasRoom(now);
  }

  /** Counts a call as sent. */
  public noteDispatch(replica: UpstreamId): void {
    this.windowOf(replica).noteDispatch();
  }

  /** Counts a call as ended. */
  public noteEnd(
    replica: UpstreamId,
    end: PlaceEnd['kind'],
    durationMilliseconds: number,
    now: number,
  ): void {
    const window = this.windowOf(replica);
    switch (end) {
      case 'succeeded':
        window.noteSuccess(durationMilliseconds, now);
        return;
      case 'failed':
        window.noteFailure(now);
        return;
      case 'cancelled':
        window.noteCancellation(now);
        return;
    }
  }

  /** Takes in the number of calls that wait at a replica. */
  public observeWaiting(replica: UpstreamId, waiting: number, now: number): void {
    this.windowOf(replica).observeWaiting(waiting, now);
  }

  /** Size and use of the window of a replica, for the status of an instance. */
  public describe(replica: UpstreamId): { readonly size: number; readonly used: number } {
    const { size, used } = this.windowOf(replica);
    return { size, used };
  }

  private windowOf(replica: UpstreamId): ConcurrencyWindow {
    const known = this.windows.get(replica);
    if (known !== undefined) {
      return known;
    }
    const window = new ConcurrencyWindow(this.options());
    this.windows.set(replica, window);
    return window;
  }
}
