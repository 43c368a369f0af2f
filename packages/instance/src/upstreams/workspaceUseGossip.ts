import type { IncarnationId, InstanceId, ServiceName, WorkspaceName } from '@zincring/core';
import type { WorkspaceTotal } from '@zincring/scheduling';

import { randomUUID } from 'node:crypto';

import { WorkspaceUse } from '@zincring/scheduling';

import type { GossipParticipant } from '../peers/gossipParticipant.js';

/** Tokens that one incarnation of an instance has served at one service. */
interface ServiceUse {
  readonly service: ServiceName;
  readonly totals: readonly WorkspaceTotal[];
}

/** Report of one incarnation of an instance, sent as JSON. */
interface UseReport {
  /** Incarnation of the instance; its totals start at zero and are counted separately. */
  readonly run: IncarnationId;
  readonly uses: readonly ServiceUse[];
}

/** Called with the tokens that another instance has newly served. */
export type RemoteServiceUseListener = (
  service: ServiceName,
  workspace: WorkspaceName,
  tokens: number,
) => void;

/** Maximum number of workspaces of each service reported in one heartbeat. */
const MAXIMUM_WORKSPACES_PER_HEARTBEAT = 64;

/**
 * Exchanges the token use of workspaces among the instances; the fair queues of each then count the
 * use at all of them.
 */
export class WorkspaceUseGossip implements GossipParticipant {
  public readonly key = 'workspace-use';
  private readonly incarnation = randomUUID() as string as IncarnationId;
  private readonly uses = new Map<ServiceName, WorkspaceUse>();

  public constructor(private readonly listener: RemoteServiceUseListener) {}

  /** Adds tokens that this instance served. */
  public add(service: ServiceName, workspace: WorkspaceName, tokens: number): void {
    this.findOrCreateUse(service).add(workspace, tokens);
  }

  public createUpdate(): string | undefined {
    const uses = [...this.uses].map(([service, use]) => ({
      service,
      totals: use.listRecentTotals(MAXIMUM_WORKSPACES_PER_HEARTBEAT),
    }));
    const report: UseReport = {
      run: this.incarnation,
      uses: uses.filter(each => each.totals.length > 0),
    };
    return report.uses.length === 0 ? undefined : JSON.stringify(report);
  }

  public applyUpdate(_instance: InstanceId, value: string): void {
    const report = JSON.parse(value) as UseReport;
    for (const { service, totals } of report.uses) {
      this.findOrCreateUse(service).applyTotals(report.run, totals);
    }
  }

  private findOrCreateUse(service: ServiceName): WorkspaceUse {
    const existing = this.uses.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const use = new WorkspaceUse((workspace, tokens) => {
      this.listener(service, workspace, tokens);
    });
    this.uses.set(service, use);
    return use;
  }
}
