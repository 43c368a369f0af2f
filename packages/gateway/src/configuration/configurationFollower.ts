import type {
  AvailabilityZone,
  ConfigurationVersion,
  Logger,
  Result,
  TimerService,
} from '@zincring/core';
import type { PartitionedRow, PartitionedTable } from '@zincring/platform';

import type { GatewayConfiguration } from './gatewayConfiguration.js';

import { TableFollower } from '../store/tableFollower.js';
import { EvacuatedZones } from '../upstreams/evacuation/evacuatedZones.js';
import { ConfigurationIndex } from './configurationIndex.js';
import { WorkspaceHistory } from './workspaceHistory.js';

/** Location of the operator's configuration in the store, and its decoder. */
export interface ConfigurationSource {
  readonly table: string;
  readonly key: string;
  /** Decodes a stored configuration; the failure describes what is wrong with it. */
  decode(value: Buffer): Result<GatewayConfiguration, string>;
  /** Returns the availability zone that the row of a key evacuates; `undefined` for other keys. */
  findEvacuatedZone(key: string): AvailabilityZone | undefined;
}

/** Options of a {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  /** Age up to which the configuration counts as current, in milliseconds. */
  readonly freshMilliseconds: number;
  /** Age up to which routes that need no key are served with the configuration, in milliseconds. */
  readonly usableMilliseconds: number;
  /** Maximum time for which the store holds a request for changes open, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** First pause after a failed read: several retries fit into the time for which a withdrawn key may still be accepted. */
const INITIAL_BACKOFF_MILLISECONDS = 50;

/**
 * Follows the operator's configuration, and the availability zones that the operator evacuates. The version in force
 * never decreases while the process runs.
 *
 * @example
 * const follower = new ConfigurationFollower(table, source, timers, logger, options);
 * follower.start();
 */
export class ConfigurationFollower {
  /** The availability zones that the operator evacuates: as current as the configuration, since both are read together. */
  public readonly evacuatedZones: EvacuatedZones;
  /** Whether there were workspaces before the configuration in force. */
  public readonly workspaceHistory: WorkspaceHistory;
  private readonly follower: TableFollower;
  private readonly listeners: ((index: ConfigurationIndex) => void)[] = [];
  private index: ConfigurationIndex | undefined;
  /** Version in the store of the row with the configuration in force. */
  private appliedRowVersion = -1;

  public constructor(
    table: PartitionedTable,
    private readonly source: ConfigurationSource,
    private readonly timers: TimerService,
    private readonly logger: Logger,
    private readonly options: ConfigurationFollowerOptions,
  ) {
    this.evacuatedZones = new EvacuatedZones(key => source.findEvacuatedZone(key), timers, logger);
    this.workspaceHistory = new WorkspaceHistory({ logger, table, timers });
    this.follower = new TableFollower(
      table,
      timers,
      logger,
      {
        initialBackoffMilliseconds: INITIAL_BACKOFF_MILLISECONDS,
        pauseMilliseconds: 0,
        table: source.table,
        waitMilliseconds: options.waitMilliseconds,
      },
      {
        onChanges: changes => {
          this.evacuatedZones.applyChanges(changes);
          this.applyRows(
            changes.flatMap(change => (change.kind === 'written' ? [change.row] : [])),
          );
          if (changes.some(({ kind, row }) => kind === 'removed' && row.key === source.key)) {
            this.logRemoval();
          }
        },
        onSnapshot: (rows, version) => {
          this.evacuatedZones.applySnapshot(rows, version);
          this.applyRows(rows);
          if (this.index !== undefined && rows.every(({ key }) => key !== source.key)) {
            this.logRemoval();
          }
        },
      },
    );
  }

  /** The configuration in force; `undefined` before the first one was read. */
  public get current(): ConfigurationIndex | undefined {
    return this.index;
  }

  /** Age of the last confirmation that the configuration is current, in milliseconds. */
  public ageMilliseconds(): number {
    return this.follower.contactMilliseconds();
  }

  /** Whether the configuration and the need of a key count as current, so that no withdrawn key is accepted. */
  public isFresh(): boolean {
    return (
      this.index !== undefined &&
      this.workspaceHistory.hadWorkspaces !== undefined &&
      this.ageMilliseconds() < this.options.freshMilliseconds
    );
  }

  /** Whether the configuration is recent enough for routes that need no key. */
  public isUsable(): boolean {
    return this.index !== undefined && this.ageMilliseconds() < this.options.usableMilliseconds;
  }

  /** Calls the listener with each later configuration that comes into force. */
  public subscribe(listener: (index: ConfigurationIndex) => void): void {
    this.listeners.push(listener);
  }

  /** Starts to follow the configuration. */
  public start(): void {
    this.follower.start();
  }

  /** Stops; the configuration in force then ages. */
  public stop(): void {
    this.follower.stop();
    this.workspaceHistory.stop();
  }

  /** Reads the configuration immediately; returns whether it is fresh after the read or the given wait, whichever ends first. */
  public async refresh(waitMilliseconds: number): Promise<boolean> {
    const timeout = new Promise<void>(resolve => {
      this.timers.after(waitMilliseconds, resolve);
    });
    await Promise.race([this.follower.refresh(), timeout]);
    return this.isFresh();
  }

  private applyRows(rows: readonly PartitionedRow[]): void {
    for (const row of rows.filter(({ key }) => key === this.source.key)) {
      const decoded = this.source.decode(row.value);
      if (decoded.ok) {
        this.applyConfiguration(decoded.val, row.version);
      } else {
        this.logger.error(
          { event: 'configuration-unreadable', failure: decoded.val, rowVersion: row.version },
          'stored configuration is invalid; keeping the one in force',
        );
      }
    }
  }

  private applyConfiguration(configuration: GatewayConfiguration, rowVersion: number): void {
    const previousVersion: ConfigurationVersion | undefined = this.index?.configuration.version;
    if (previousVersion !== undefined && configuration.version <= previousVersion) {
      this.logIgnored(configuration.version, rowVersion);
      return;
    }
    this.appliedRowVersion = rowVersion;
    this.index = new ConfigurationIndex(configuration);
    this.workspaceHistory.record(configuration);
    this.logger.info(
      {
        event: 'configuration-in-force',
        previous: previousVersion,
        version: configuration.version,
        workspaces: configuration.workspaces?.length,
      },
      'a new configuration is in force',
    );
    for (const listener of this.listeners) {
      listener(this.index);
    }
  }

  private logRemoval(): void {
    this.logger.error(
      { event: 'configuration-removed', version: this.index?.configuration.version },
      'the stored configuration was removed; keeping the one in force',
    );
  }

  /** Logs a row that was written after the configuration in force and has no higher version. */
  private logIgnored(version: ConfigurationVersion, rowVersion: number): void {
    if (rowVersion <= this.appliedRowVersion) {
      return;
    }
    this.logger.error(
      {
        event: 'configuration-ignored',
        ignored: version,
        rowVersion,
        version: this.index?.configuration.version,
      },
      'a later stored configuration has no higher version; keeping the one in force',
    );
  }
}
