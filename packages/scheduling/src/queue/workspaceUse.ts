import type { IncarnationId, WorkspaceName } from '@zincring/core';

import { trimOldest } from '../util/trimOldest.js';

/** Total of the tokens that one instance has served to a workspace since it started. */
export interface WorkspaceTotal {
  readonly workspace: WorkspaceName;
  readonly tokens: number;
}

/** Called with the tokens that another instance has newly served to a workspace. */
export type RemoteUseListener = (workspace: WorkspaceName, tokens: number) => void;

/**
 * Maximum number of incarnations whose totals are kept; the one that reported least recently is
 * dropped first.
 */
const MAXIMUM_INCARNATIONS = 1_024;

/** Maximum number of workspaces for which this instance's own totals are kept. */
const MAXIMUM_WORKSPACES = 16_384;

/**
 * Token use of the fleet by workspace. Instances exchange running totals, of which only the
 * increase over the highest total received before is counted. Messages may therefore be lost,
 * duplicated or reordered.
 *
 * @example
 * const use = new WorkspaceUse((workspace, tokens) => scheduler.observeRemoteUse(workspace, tokens));
 * use.add(workspace, 1_200);
 * use.applyTotals(otherIncarnation, totals);
 */
export class WorkspaceUse {
  /** Ordered from least to most recently served: a map keeps the order of insertion. */
  private readonly ownTotals = new Map<WorkspaceName, number>();
  private readonly remoteTotals = new Map<IncarnationId, Map<WorkspaceName, number>>();

  public constructor(private readonly listener: RemoteUseListener) {}

  /** Adds tokens that this instance served. */
  public add(workspace: WorkspaceName, tokens: number): void {
    const total = (this.ownTotals.get(workspace) ?? 0) + tokens;
    this.ownTotals.delete(workspace);
    this.ownTotals.set(workspace, total);
    trimOldest(this.ownTotals, MAXIMUM_WORKSPACES);
  }

  /**
   * Returns totals to send to the other instances: those of the workspaces served most recently.
   */
  public listRecentTotals(limit: number): readonly WorkspaceTotal[] {
    const totals = [...this.ownTotals].slice(-limit);
    return totals.map(([workspace, tokens]) => ({ tokens, workspace }));
  }

  /**
   * Applies totals of another instance. The first total received for a workspace is only a baseline
   * and counts no tokens, since the use may be old.
   */
  public applyTotals(incarnation: IncarnationId, totals: readonly WorkspaceTotal[]): void {
    const knownTotals = this.remoteTotals.get(incarnation) ?? new Map<WorkspaceName, number>();
    for (const { tokens, workspace } of totals) {
      const lastTotal = knownTotals.get(workspace) ?? tokens;
      knownTotals.set(workspace, Math.max(lastTotal, tokens));
      if (tokens > lastTotal) {
        this.listener(workspace, tokens - lastTotal);
      }
    }
    this.remoteTotals.delete(incarnation);
    this.remoteTotals.set(incarnation, knownTotals);
    trimOldest(this.remoteTotals, MAXIMUM_INCARNATIONS);
  }
}
