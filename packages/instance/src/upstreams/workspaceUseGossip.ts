import type { IncarnationId, InstanceId, ServiceName, WorkspaceName } from '@zincring/core';
import type { WorkspaceTotal } from '@zincring/scheduling';

import { randomUUID } from 'node:crypto';

import { WorkspaceUse } from '@zincring/scheduling';

import type { GossipParticipant } from '../peers/gossipParticipant.js';

/** Tokens that one run of an instance has served at one service. */
interface ToldUse {
  readonly service: ServiceName;
  readonly totals: readonly WorkspaceTotal[];
}

/** What one run of an instance tells. */
interface ToldUses {
  /** Totals begin at zero with every run, so each run counts by itself. */
  readonly run: IncarnationId;
  readonly uses: readonly ToldUse[];
}

/** Called for tokens that another instance has served. */
export type RemoteServiceUseListener = (
  service: ServiceName,
  workspace: WorkspaceName,
  tokens: number,
) => void;

/** Workspaces told in one heartbeat, at most, for each service. */
const WORKSPACES_PER_HEARTBEAT = 64;

/** Lets the fair queues of all instances count what a workspace was served anywhere. */
export class WorkspaceUseGossip implements GossipParticipant {
  public readonly key = 'workspace-use';
  private readonly run = randomUUID() as string as IncarnationId;
  private readonly uses = new Map<ServiceName, WorkspaceUse>();

  public constructor(private readonly listener: RemoteServiceUseListener) {}

  /** Counts tokens that this instance served. */
  public add(service: ServiceName, workspace: WorkspaceName, tokens: number): void {
    this.useOf(service).add(workspace, tokens);
  }

  public tell(): string | undefined {
    const uses = [...this.uses].map(([service, use]) => ({
      service,
      totals: use.listRecentTotals(WORKSPACES_PER_HEARTBEAT),
    }));
    const told: ToldUses = { run: this.run, uses: uses.filter(each => each.totals.length > 0) };
    return told.uses.length === 0 ? undefined : JSON.stringify(told);
  }

  public hear(_instance: InstanceId, value: string): void {
    const told = JSON.parse(value) as ToldUses;
    for (const { service, totals } of told.uses) {
      this.useOf(service).applyTotals(told.run, totals);
    }
  }

  private useOf(service: ServiceName): WorkspaceUse {
    const known = this.uses.get(service);
    if (known !== undefined) {
      return known;
    }
    const use = new WorkspaceUse((workspace, tokens) => {
      this.listener(service, workspace, tokens);
    });
    this.uses.set(service, use);
    return use;
  }
}
