import type { IncarnationId, Logger, TimerService } from '@zincring/core';
import type { Row, TableService } from '@zincring/platform';

import { sessionRowKey } from './leaseRows.js';
import { SessionObserver } from './sessionObserver.js';

/** What finding expired sessions needs. */
export interface ExpiredSessionsOptions {
  readonly table: TableService;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly termMilliseconds: number;
}

/** Watches the sessions of other holders and ends those that have expired. */
export class ExpiredSessions {
  private readonly observer: SessionObserver;

  public constructor(private readonly options: ExpiredSessionsOptions) {
    this.observer = new SessionObserver(options.timers, options.termMilliseconds);
  }

  /**
   * Reads the sessions of holders and ends those that have expired, so that they can never be
   * renewed again.
   *
   * @returns the incarnations whose session has certainly ended
   */
  public async find(holders: ReadonlySet<IncarnationId>): Promise<ReadonlySet<IncarnationId>> {
    this.observer.retain(holders);
    const incarnations = [...holders];
    const ended = new Set<IncarnationId>();
    if (incarnations.length === 0) {
      return ended;
    }
    const startedAt = this.options.timers.now();
    const read = await this.options.table.read(incarnations.map(sessionRowKey));
    if (read.err) {
      return ended;
    }
    for (const [index, row] of read.val.entries()) {
      const incarnation = incarnations[index];
      if (incarnation === undefined || !this.observer.observe(incarnation, row, startedAt)) {
        continue;
      }
      if (row.version === 0 || (await this.end(incarnation, row))) {
        ended.add(incarnation);
      }
    }
    return ended;
  }

  private async end(incarnation: IncarnationId, row: Row): Promise<boolean> {
    const ended = await this.options.table.transact({
      checks: [{ key: row.key, version: row.version }],
      writes: [{ key: row.key, value: null }],
    });
    const isEnded = ended.ok && ended.val.status === 'committed';
    if (isEnded) {
      this.options.logger.info({ incarnation }, 'expired session ended');
    }
    return isEnded;
  }
}
