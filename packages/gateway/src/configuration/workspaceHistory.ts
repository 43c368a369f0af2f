import type { Logger, TimerService, TimerSubscription } from '@zincring/core';
import type { PartitionedTable, RowAddress } from '@zincring/platform';

import type { GatewayConfiguration } from './gatewayConfiguration.js';

import { readRow } from '../store/editRow.js';

/** Dependencies of a {@link WorkspaceHistory}. */
export interface WorkspaceHistoryDependencies {
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
}

/** Row that exists once a configuration has contained a list of workspaces; nothing removes it. */
export const workspaceHistoryAddress: RowAddress = {
  key: 'workspaces',
  partition: 'configuration',
  table: 'configuration',
};

/** Value of the row; only its existence counts. */
const RECORDED = Buffer.from(JSON.stringify({ hadWorkspaces: true }));
/** Pause before the store is asked or written to again, in milliseconds: a fraction of the time for which a withdrawn key may still be accepted. */
const RETRY_MILLISECONDS = 1_000;

/**
 * Remembers whether any configuration has contained a list of workspaces. Requests need no key without the list, unless
 * there were keys before: a configuration that leaves the list out withdraws all of them. A row in the store tells
 * instances that start later.
 *
 * @example
 * const history = new WorkspaceHistory(dependencies);
 * follower.subscribe(({ configuration }) => history.record(configuration));
 * history.hadWorkspaces; // undefined until the store has answered
 */
export class WorkspaceHistory {
  private hadWorkspacesBefore: boolean | undefined;
  private isFollowing = false;
  private isStopped = false;
  private retryTimer: TimerSubscription | undefined;

  public constructor(private readonly dependencies: WorkspaceHistoryDependencies) {}

  /** Whether there were workspaces before; `undefined` while this is not known. */
  public get hadWorkspaces(): boolean | undefined {
    return this.hadWorkspacesBefore;
  }

  /** Takes in a configuration that comes into force. */
  public record({ workspaces }: GatewayConfiguration): void {
    if (workspaces !== undefined) {
      this.hadWorkspacesBefore = true;
    }
    if (!this.isFollowing) {
      this.isFollowing = true;
      this.follow();
    }
  }

  /** Stops; what is known stays as it is. */
  public stop(): void {
    this.isStopped = true;
    this.retryTimer?.stop();
  }

  /** Writes the row once there are workspaces, and reads it until then; ends when the row exists. */
  private follow(): void {
    const step = this.hadWorkspacesBefore === true ? this.write() : this.read();
    void step.then(isDone => {
      if (!isDone && !this.isStopped) {
        this.retryTimer = this.dependencies.timers.after(RETRY_MILLISECONDS, () => {
          this.follow();
        });
      }
    });
  }

  /** Makes sure that the row exists; returns whether it does. */
  private async write(): Promise<boolean> {
    if (await this.read()) {
      return true;
    }
    const { logger, table } = this.dependencies;
    const outcome = await table.transact({
      checks: [{ ...workspaceHistoryAddress, version: 0 }],
      removals: [],
      writes: [{ ...workspaceHistoryAddress, value: RECORDED }],
    });
    if (outcome.err) {
      logger.warn(
        { event: 'workspace-history-unwritten', failure: outcome.val.message },
        'could not record that there are workspaces',
      );
    }
    // After a conflict another instance has written the row.
    return outcome.ok;
  }

  /** Reads whether the row exists. */
  private async read(): Promise<boolean> {
    const { logger, table } = this.dependencies;
    const read = await readRow(table, workspaceHistoryAddress);
    if (read.err) {
      logger.warn(
        { event: 'workspace-history-unread', failure: read.val.message },
        'could not read whether there were workspaces before',
      );
      return false;
    }
    if (read.val.row.version === 0) {
      this.hadWorkspacesBefore ??= false;
      return false;
    }
    if (this.hadWorkspacesBefore !== true) {
      logger.info(
        { event: 'workspaces-left-out' },
        'the list of workspaces is left out, so no key is accepted',
      );
    }
    this.hadWorkspacesBefore = true;
    return true;
  }
}
