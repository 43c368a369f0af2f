import type { InstanceId, TimerService, WorkspaceName } from '@zincring/core';

import type { GossipParticipant } from '../peers/gossipParticipant.js';

/** What counting open programs across instances needs. */
export interface OpenProgramCountsOptions {
  readonly timers: TimerService;
  /** Open programs held here, by workspace. */
  readonly countHere: () => ReadonlyMap<WorkspaceName, number>;
  /** How long the counts of an instance that has fallen silent are kept, in milliseconds. */
  readonly keepMilliseconds: number;
}

interface HeardCounts {
  readonly heardAt: number;
  readonly counts: ReadonlyMap<string, number>;
}

/**
 * How many programs each workspace has open at the other instances, as they tell with their
 * heartbeats. The limit on open programs is kept within what is opened between two heartbeats.
 */
export class OpenProgramCounts implements GossipParticipant {
  public readonly key = 'open-programs';
  private readonly heard = new Map<InstanceId, HeardCounts>();

  public constructor(private readonly options: OpenProgramCountsOptions) {}

  public tell(): string {
    return JSON.stringify([...this.options.countHere()]);
  }

  public hear(instance: InstanceId, value: string): void {
    const counts = new Map(JSON.parse(value) as [string, number][]);
    this.heard.set(instance, { counts, heardAt: this.options.timers.now() });
  }

  /** Open programs of a workspace at the other instances. */
  public countElsewhere(workspace: WorkspaceName): number {
    const oldest = this.options.timers.now() - this.options.keepMilliseconds;
    let sum = 0;
    for (const [instance, { counts, heardAt }] of this.heard) {
      if (heardAt < oldest) {
        this.heard.delete(instance);
        continue;
      }
      sum += counts.get(workspace) ?? 0;
    }
    return sum;
  }
}
