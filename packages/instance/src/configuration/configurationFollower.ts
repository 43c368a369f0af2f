import type { InstanceId, Logger, Metrics, TimerService, TimerSubscription } from '@zincring/core';
import type { Update, UpdateRequest } from '@zincring/coordination';
import type { Configuration } from '@zincring/rules';

import { failureText } from '@zincring/core';

import type { ConfigurationFreshness } from './configurationFreshness.js';
import type { ConfigurationSource } from './configurationSource.js';
import type { BlockedVersion, ConfigurationDifference } from './rulesInForce.js';

import { RulesInForce } from './rulesInForce.js';

/** Dependencies of {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  readonly store: ConfigurationSource;
  /** Returns the source that reads from a peer; `undefined` when the peer is not known. */
  readonly findPeerSource: (instance: InstanceId) => ConfigurationSource | undefined;
  readonly freshness: ConfigurationFreshness;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Interval between polls of the store, in milliseconds. */
  readonly pollMilliseconds: number;
}

/** Report of a peer on its configuration. */
export interface PeerConfigurationReport {
  readonly instance: InstanceId;
  /** Version in force at the peer. */
  readonly version: number;
  /** Newest version known to the peer. */
  readonly newestVersion: number;
  /** Time since the peer itself read the store, in milliseconds; `undefined` when it has not. */
  readonly storeAgeMilliseconds: number | undefined;
}

/** Called each time a newer configuration comes into force. */
export type ConfigurationListener = (
  configuration: Configuration,
  difference: ConfigurationDifference,
) => void;

/**
 * Keeps the newest configuration in force; its version never decreases. Newer versions are read
 * from the store, or from a peer while this instance cannot reach the store.
 */
export class ConfigurationFollower {
  private readonly rules = new RulesInForce();
  private readonly listeners = new Set<ConfigurationListener>();
  private newestKnown = 0;
  private hasBeenReady = false;
  private isStoreReadable = true;
  private isPolling = false;
  private isReadingFromPeer = false;
  private pollRequestCount = 0;
  private subscription: TimerSubscription | undefined;

  public constructor(private readonly options: ConfigurationFollowerOptions) {}

  /** Configuration in force; `undefined` until the first has been read. */
  public get current(): Configuration | undefined {
    return this.rules.configuration;
  }

  /** Configuration in force; `undefined` while callers may not be served. */
  public get usable(): Configuration | undefined {
    return this.isReady ? this.current : undefined;
  }

  /**
   * Whether callers may be served. Either the configuration was confirmed to be current within the
   * contact time, so that a newer version can only have been accepted since then; or no newer
   * version is known although a majority of the instances, which would report one, is heard from. A
   * version that cannot be applied makes only those instances unready that were never ready before.
   */
  public get isReady(): boolean {
    const { freshness } = this.options;
    const isBlocked = this.rules.blocked !== undefined && !this.hasBeenReady;
    const isCurrent =
      freshness.isConfirmedCurrent || (this.isCaughtUp && freshness.hearsFromMajority);
    const isReady = this.current !== undefined && !isBlocked && isCurrent;
    this.hasBeenReady ||= isReady;
    return isReady;
  }

  /** Version in force; 0 before the first. */
  public get version(): number {
    return this.rules.version;
  }

  /** Newest version known, in force or not. */
  public get newestVersion(): number {
    return Math.max(this.newestKnown, this.rules.version);
  }

  /** Version that cannot be applied; `undefined` when there is none. */
  public get blocked(): BlockedVersion | undefined {
    return this.rules.blocked;
  }

  /** Age of the state last read from the store, in milliseconds; `undefined` before the first. */
  public get storeAgeMilliseconds(): number | undefined {
    return this.options.freshness.storeAgeMilliseconds;
  }

  /** Calls a listener each time a newer configuration comes into force. */
  public subscribe(listener: ConfigurationListener): TimerSubscription {
    this.listeners.add(listener);
    return {
      stop: () => {
        this.listeners.delete(listener);
      },
    };
  }

  /** Returns the update that brings a reader of a version up to the one in force here. */
  public getUpdateAfter(after: number): Update {
    return this.rules.getUpdateAfter(after, this.newestVersion);
  }

  /** Starts polling for changes. */
  public start(): void {
    this.subscription = this.options.timers.every(this.options.pollMilliseconds, () => {
      this.pollInBackground();
    });
    this.pollInBackground();
  }

  /** Stops polling. */
  public stop(): void {
    this.subscription?.stop();
  }

  /** Records the report of a peer; a newer version is read immediately. */
  public recordPeerReport(report: PeerConfigurationReport): void {
    const { instance, storeAgeMilliseconds } = report;
    const reportedVersion = Math.max(report.version, report.newestVersion);
    this.newestKnown = Math.max(this.newestKnown, reportedVersion);
    const isCurrent = this.current !== undefined && reportedVersion <= this.rules.evaluatedVersion;
    this.options.freshness.recordPeerReport(instance, storeAgeMilliseconds, isCurrent);
    if (report.version <= this.rules.evaluatedVersion && this.current !== undefined) {
      return;
    }
    if (this.options.freshness.hasReadStoreRecently) {
      this.pollInBackground();
      return;
    }
    this.readFromPeer(report.instance).catch((failure: unknown) => {
      this.options.logger.warn(
        { failure: failureText(failure) },
        'configuration could not be read from the peer',
      );
    });
  }

  /** Reads newer versions from the store; a call during a running poll makes that poll read again. */
  public async poll(): Promise<void> {
    this.options.freshness.recordActivity();
    this.pollRequestCount++;
    if (this.isPolling) {
      return;
    }
    this.isPolling = true;
    try {
      for (let servedRequestCount = 0; servedRequestCount < this.pollRequestCount;) {
        servedRequestCount = this.pollRequestCount;
        await this.readStore();
      }
    } finally {
      this.pollRequestCount = 0;
      this.isPolling = false;
    }
  }

  private get updateRequest(): UpdateRequest {
    return { after: this.rules.version, known: this.rules.evaluatedVersion };
  }

  private get isCaughtUp(): boolean {
    return this.rules.evaluatedVersion >= this.newestKnown;
  }

  private pollInBackground(): void {
    this.poll().catch((failure: unknown) => {
      this.options.logger.warn(
        { failure: failureText(failure) },
        'configuration could not be polled',
      );
    });
  }

  private async readStore(): Promise<void> {
    const sentAt = this.options.timers.now();
    const read = await this.options.store.read(this.updateRequest);
    this.logStoreReadability(read.err ? read.val.message : undefined);
    if (read.err) {
      return;
    }
    this.newestKnown = Math.max(this.newestKnown, read.val.newest);
    this.applyUpdate(read.val);
    const isCurrent = this.rules.evaluatedVersion >= read.val.newest;
    this.options.freshness.recordStoreRead(sentAt, isCurrent);
    if (read.val.newest < this.rules.version) {
      const fields = { stored: read.val.newest, version: this.rules.version };
      this.options.logger.error(fields, 'the store has an older configuration');
    }
  }

  private async readFromPeer(instance: InstanceId): Promise<void> {
    const source = this.options.findPeerSource(instance);
    if (source === undefined || this.isReadingFromPeer) {
      return;
    }
    this.isReadingFromPeer = true;
    try {
      const read = await source.read(this.updateRequest);
      if (read.ok) {
        this.newestKnown = Math.max(this.newestKnown, read.val.newest);
        this.applyUpdate(read.val);
      }
    } finally {
      this.isReadingFromPeer = false;
    }
  }

  private applyUpdate(update: Update): void {
    const blockedBefore = this.rules.blocked?.version;
    const difference = this.rules.applyUpdate(update);
    this.reportBlocked(blockedBefore);
    const { current } = this;
    if (difference === undefined || current === undefined) {
      return;
    }
    this.options.metrics.gauge('configuration.version', current.version);
    this.options.logger.info({ version: current.version }, 'configuration in force');
    for (const listener of this.listeners) {
      this.notifyListener(listener, current, difference);
    }
  }

  /** Calls a listener and logs its failure, so that the other listeners are still called. */
  private notifyListener(
    listener: ConfigurationListener,
    configuration: Configuration,
    difference: ConfigurationDifference,
  ): void {
    try {
      listener(configuration, difference);
    } catch (failure) {
      const fields = { failure: failureText(failure), version: configuration.version };
      this.options.logger.error(fields, 'a configuration listener failed');
    }
  }

  /** Logs when the configuration in the store becomes unreadable, and when it is readable again. */
  private logStoreReadability(failure: string | undefined): void {
    if (failure !== undefined && this.isStoreReadable) {
      this.options.logger.warn({ failure }, 'configuration cannot be read from the store');
    }
    if (failure === undefined && !this.isStoreReadable) {
      this.options.logger.info({}, 'configuration can be read from the store again');
    }
    this.isStoreReadable = failure === undefined;
  }

  private reportBlocked(blockedBefore: number | undefined): void {
    const { blocked } = this.rules;
    this.options.metrics.gauge('configuration.blocked_version', blocked?.version ?? 0);
    if (blocked !== undefined && blocked.version !== blockedBefore) {
      const fields = { reason: blocked.reason, version: blocked.version };
      this.options.logger.error(fields, 'an accepted configuration cannot be applied');
    }
  }
}
