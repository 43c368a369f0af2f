import type { InstanceId, TimerService, WorkspaceName } from '@zincring/core';

import type { GossipParticipant } from '../peers/gossipParticipant.js';

/** Options of {@link OpenProgramCounts}. */
export interface OpenProgramCountsOptions {
  readonly timers: TimerService;
  /** Counts the open programs held by this instance, by workspace. */
  readonly countHere: () => ReadonlyMap<WorkspaceName, number>;
  /** Time after which the counts of an instance that sends no more heartbeats are dropped. */
  readonly retentionMilliseconds: number;
}

/** Counts that another instance announced. */
interface ReceivedCounts {
  /** Time of receipt on the monotonic clock of this instance, in milliseconds. */
  readonly receivedAt: number;
  readonly counts: ReadonlyMap<string, number>;
}

/**
 * Numbers of open programs of each workspace at the other instances, as announced with their
 * heartbeats. The limit on open programs can be exceeded by the number of programs that are opened
 * between two heartbeats.
 */
export class OpenProgramCounts implements GossipParticipant {
  public readonly key = 'open-programs';
  private readonly countsByInstance = new Map<InstanceId, ReceivedCounts>();

  public constructor(private readonly options: OpenProgramCountsOptions) {}

  public createUpdate(): string {
    return JSON.stringify([...this.options.countHere()]);
  }

  public applyUpdate(instance: InstanceId, value: string): void {
    const counts = new Map(JSON.parse(value) as [string, number][]);
    this.countsByInstance.set(instance, { counts, receivedAt: this.options.timers.now() });
  }

  /** Counts the open programs of a workspace at the other instances. */
  public countElsewhere(workspace: WorkspaceName): number {
    const oldestValid = this.options.timers.now() - this.options.retentionMilliseconds;
    let sum = 0;
    for (const [instance, { counts, receivedAt }] of this.countsByInstance) {
      if (receivedAt < oldestValid) {
        this.countsByInstance.delete(instance);
        continue;
      }
      sum += counts.get(workspace) ?? 0;
    }
    return sum;
  }
}
