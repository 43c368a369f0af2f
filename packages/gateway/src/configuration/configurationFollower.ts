import type { ConfigurationVersion, Logger, Result, TimerService } from '@zincring/core';
import type { PartitionedRow, PartitionedTable } from '@zincring/platform';

import type { GatewayConfiguration } from './gatewayConfiguration.js';

import { TableFollower } from '../store/tableFollower.js';
import { ConfigurationIndex } from './configurationIndex.js';

/** Where the operator's configuration lies, and how to read it. */
export interface ConfigurationSource {
  readonly table: string;
  readonly key: string;
  /** Reads a stored configuration; the failure says what is wrong with it. */
  decode(value: Buffer): Result<GatewayConfiguration, string>;
}

/** Times of a {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  /** Age up to which the configuration counts as current, in milliseconds. */
  readonly freshMilliseconds: number;
  /** Age up to which routes that need no key are served, in milliseconds. */
  readonly usableMilliseconds: number;
  /** Longest wait of one request for changes, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** First pause after a failed read, in milliseconds: several tries fit the time a key may outlive its withdrawal. */
const BACKOFF = 50;

/**
 * Follows the operator's configuration. Within one run of the process the version only rises.
 *
 * @example
 * const follower = new ConfigurationFollower(table, source, timers, logger, options);
 * follower.start();
 */
export class ConfigurationFollower {
  private readonly follower: TableFollower;
  private readonly listeners: ((index: ConfigurationIndex) => void)[] = [];
  private index: ConfigurationIndex | undefined;

  public constructor(
    table: PartitionedTable,
    private readonly source: ConfigurationSource,
    private readonly timers: TimerService,
    private readonly logger: Logger,
    private readonly options: ConfigurationFollowerOptions,
  ) {
    this.follower = new TableFollower(
      table,
      timers,
      logger,
      {
        backoffMilliseconds: BACKOFF,
        pauseMilliseconds: 0,
        table: source.table,
        waitMilliseconds: options.waitMilliseconds,
      },
      {
        onChanges: changes => {
          this.takeRows(changes.flatMap(change => (change.kind === 'written' ? [change.row] : [])));
        },
        onSnapshot: rows => {
          this.takeRows(rows);
        },
      },
    );
  }

  /** The configuration in force; `undefined` before the first one is known. */
  public get current(): ConfigurationIndex | undefined {
    return this.index;
  }

  /** Age of the last proof that the configuration is current, in milliseconds. */
  public ageMilliseconds(): number {
    return this.follower.contactMilliseconds();
  }

  /** Whether the configuration counts as current: withdrawn keys are known. */
  public isFresh(): boolean {
    return this.index !== undefined && this.ageMilliseconds() < this.options.freshMilliseconds;
  }

  /** Whether the configuration is recent enough for routes that need no key. */
  public isUsable(): boolean {
    return this.index !== undefined && this.ageMilliseconds() < this.options.usableMilliseconds;
  }

  /** Calls the listener with each new configuration. */
  public subscribe(listener: (index: ConfigurationIndex) => void): void {
    this.listeners.push(listener);
  }

  /** Begins to follow. */
  public start(): void {
    this.follower.start();
  }

  /** Ends: the configuration grows old. */
  public stop(): void {
    this.follower.stop();
  }

  /** Reads the configuration at once and tells whether it is fresh by the end of a wait. */
  public async refresh(waitMilliseconds: number): Promise<boolean> {
    const limit = new Promise<void>(resolve => {
      this.timers.after(waitMilliseconds, resolve);
    });
    await Promise.race([this.follower.refresh(), limit]);
    return this.isFresh();
  }

  private takeRows(rows: readonly PartitionedRow[]): void {
    for (const row of rows.filter(({ key }) => key === this.source.key)) {
      const decoded = this.source.decode(row.value);
      if (decoded.ok) {
        this.take(decoded.val);
      } else {
        this.logger.error(
          { event: 'configuration-unreadable', failure: decoded.val, rowVersion: row.version },
          'keeping the configuration in force',
        );
      }
    }
  }

  private take(configuration: GatewayConfiguration): void {
    const known: ConfigurationVersion | undefined = this.index?.configuration.version;
    if (known !== undefined && configuration.version <= known) {
      return;
    }
    this.index = new ConfigurationIndex(configuration);
    this.logger.info(
      { event: 'configuration-in-force', previous: known, version: configuration.version },
      'a configuration is in force',
    );
    for (const listener of this.listeners) {
      listener(this.index);
    }
  }
}
