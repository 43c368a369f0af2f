import type { IncarnationId, Logger, TimerService } from '@zincring/core';
import type { Row, TableService } from '@zincring/platform';

import { sessionRowKey } from './leaseRows.js';
import { SessionObserver } from './sessionObserver.js';

/** Options of an {@link ExpiredSessionReaper}. */
export interface ExpiredSessionReaperOptions {
  readonly table: TableService;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly termMilliseconds: number;
}

/** Watches the sessions of other holders and ends those that have expired. */
export class ExpiredSessionReaper {
  private readonly observer: SessionObserver;

  public constructor(private readonly options: ExpiredSessionReaperOptions) {
    this.observer = new SessionObserver(options.timers, options.termMilliseconds);
  }

  /**
   * Reads the sessions of the given holders and deletes the rows of those that have expired, so
   * that they can never be renewed again.
   *
   * @returns the incarnations whose sessions are known to have ended
   */
  public async endExpired(
    holders: ReadonlySet<IncarnationId>,
  ): Promise<ReadonlySet<IncarnationId>> {
    this.observer.retain(holders);
    const incarnations = [...holders];
    const endedIncarnations = new Set<IncarnationId>();
    if (incarnations.length === 0) {
      return endedIncarnations;
    }
    const readStartedAt = this.options.timers.now();
    const read = await this.options.table.read(incarnations.map(sessionRowKey));
    if (read.err) {
      return endedIncarnations;
    }
    for (const [index, row] of read.val.entries()) {
      const incarnation = incarnations[index];
      if (incarnation === undefined || !this.observer.observe(incarnation, row, readStartedAt)) {
        continue;
      }
      if (row.version === 0 || (await this.end(incarnation, row))) {
        endedIncarnations.add(incarnation);
      }
    }
    return endedIncarnations;
  }

  private async end(incarnation: IncarnationId, row: Row): Promise<boolean> {
    const outcome = await this.options.table.transact({
      checks: [{ key: row.key, version: row.version }],
      writes: [{ key: row.key, value: null }],
    });
    const isEnded = outcome.ok && outcome.val.status === 'committed';
    if (isEnded) {
      this.options.logger.info({ incarnation }, 'expired session ended');
    }
    return isEnded;
  }
}
