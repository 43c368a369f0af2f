import type { IncarnationId, WorkspaceName } from '@zincring/core';

import { trimOldest } from '../util/trimOldest.js';

/** Tokens served to one workspace by one instance since it started. */
export interface WorkspaceTotal {
  readonly workspace: WorkspaceName;
  readonly tokens: number;
}

/** Called for tokens that another instance has served. */
export type RemoteUseListener = (workspace: WorkspaceName, tokens: number) => void;

/** Incarnations whose totals are kept, at most; the one heard of least recently is forgotten. */
const MAX_INCARNATIONS = 1_024;

/** Workspaces whose own totals are kept, at most. */
const MAX_WORKSPACES = 16_384;

/**
 * The fleet's use by workspace. Instances tell running totals, so that messages may be lost, come
 * twice or out of order; the difference to the highest total heard before is what counts.
 *
 * @example
 * const use = new WorkspaceUse((workspace, tokens) => scheduler.observeRemoteUse(workspace, tokens));
 * use.add(workspace, 1_200);
 * use.hear(otherIncarnation, totals);
 */
export class WorkspaceUse {
  /** In order of last use: a map keeps the order of insertion. */
  private readonly own = new Map<WorkspaceName, number>();
  private readonly heard = new Map<IncarnationId, Map<WorkspaceName, number>>();

  public constructor(private readonly listener: RemoteUseListener) {}

  /** Counts tokens that this instance served. */
  public add(workspace: WorkspaceName, tokens: number): void {
    const total = (this.own.get(workspace) ?? 0) + tokens;
    this.own.delete(workspace);
    this.own.set(workspace, total);
    trimOldest(this.own, MAX_WORKSPACES);
  }

  /** Totals to tell the other instances: the workspaces served last. */
  public tell(limit: number): readonly WorkspaceTotal[] {
    const totals = [...this.own].slice(-limit);
    return totals.map(([workspace, tokens]) => ({ tokens, workspace }));
  }

  /**
   * Takes in what another instance tells. The first total of a workspace is where counting starts,
   * since it may be old.
   */
  public hear(incarnation: IncarnationId, totals: readonly WorkspaceTotal[]): void {
    const before = this.heard.get(incarnation) ?? new Map<WorkspaceName, number>();
    for (const { tokens, workspace } of totals) {
      const last = before.get(workspace) ?? tokens;
      before.set(workspace, Math.max(last, tokens));
      if (tokens > last) {
        this.listener(workspace, tokens - last);
      }
    }
    this.heard.delete(incarnation);
    this.heard.set(incarnation, before);
    trimOldest(this.heard, MAX_INCARNATIONS);
  }
}
