import type { InstanceId, Logger, Metrics, TimerService, TimerSubscription } from '@zincring/core';
import type { Update, UpdateRequest } from '@zincring/coordination';
import type { Configuration } from '@zincring/rules';

import { failureText } from '@zincring/core';

import type { ConfigurationContact } from './configurationContact.js';
import type { ConfigurationSource } from './configurationSource.js';
import type { BlockedVersion, ConfigurationDifference } from './rulesInForce.js';

import { RulesInForce } from './rulesInForce.js';

/** What following the configuration needs. */
export interface ConfigurationFollowerOptions {
  readonly store: ConfigurationSource;
  /** The configuration that a peer has; `undefined` when the peer is not known. */
  readonly peer: (instance: InstanceId) => ConfigurationSource | undefined;
  readonly contact: ConfigurationContact;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Time between looks at the head, in milliseconds. */
  readonly pollMilliseconds: number;
}

/** What a peer tells of its configuration. */
export interface HeardConfiguration {
  readonly instance: InstanceId;
  /** Version in force at the peer. */
  readonly version: number;
  /** Newest version that the peer knows. */
  readonly newestVersion: number;
  /** Time since the peer itself read the store; `undefined` when it has not. */
  readonly storeAgeMilliseconds: number | undefined;
}

/** Called with every newer configuration. */
export type ConfigurationListener = (
  configuration: Configuration,
  difference: ConfigurationDifference,
) => void;

/**
 * Keeps the newest configuration in force; its version never goes down. Newer versions come from
 * the store, or from a peer while this instance cannot reach the store.
 */
export class ConfigurationFollower {
  private readonly rules = new RulesInForce();
  private readonly listeners = new Set<ConfigurationListener>();
  private newest = 0;
  private hasBeenReady = false;
  private isStoreReadable = true;
  private isPolling = false;
  private isAskingPeer = false;
  private pollRequests = 0;
  private subscription: TimerSubscription | undefined;

  public constructor(private readonly options: ConfigurationFollowerOptions) {}

  /** The configuration in force; `undefined` until the first has been read. */
  public get current(): Configuration | undefined {
    return this.rules.configuration;
  }

  /** The configuration in force if callers may be served by it. */
  public get usable(): Configuration | undefined {
    return this.isReady ? this.current : undefined;
  }

  /**
   * Whether callers may be served: the newest version known is in force, or was known too late to
   * be, and this instance would have heard of a newer one. A version that cannot be taken up stops
   * only an instance that has not been ready before.
   */
  public get isReady(): boolean {
    const { contact } = this.options;
    const isBlocked = this.rules.blocked !== undefined && !this.hasBeenReady;
    const isCurrent = contact.isVouchedFor || (this.isCaughtUp && contact.hearsMost);
    const isReady = this.current !== undefined && !isBlocked && isCurrent;
    this.hasBeenReady ||= isReady;
    return isReady;
  }

  /** Version in force; 0 before the first. */
  public get version(): number {
    return this.rules.version;
  }

  /** The newest version that was heard of. */
  public get newestVersion(): number {
    return Math.max(this.newest, this.rules.version);
  }

  /** The version that cannot be taken up, where there is one. */
  public get blocked(): BlockedVersion | undefined {
    return this.rules.blocked;
  }

  /** Milliseconds since the state of the store that was last read; `undefined` before the first. */
  public get storeAgeMilliseconds(): number | undefined {
    return this.options.contact.storeAgeMilliseconds;
  }

  /** Calls a listener with every newer configuration. */
  public subscribe(listener: ConfigurationListener): TimerSubscription {
    this.listeners.add(listener);
    return {
      stop: () => {
        this.listeners.delete(listener);
      },
    };
  }

  /** What brings a reader of a version up to what this instance has. */
  public updateAfter(after: number): Update {
    return this.rules.updateAfter(after, this.newestVersion);
  }

  /** Begins to look for changes. */
  public start(): void {
    this.subscription = this.options.timers.every(this.options.pollMilliseconds, () => {
      this.look();
    });
    this.look();
  }

  /** Stops looking. */
  public stop(): void {
    this.subscription?.stop();
  }

  /** Takes in what a peer tells; a newer version is looked for at once. */
  public hear(heard: HeardConfiguration): void {
    const { instance, storeAgeMilliseconds } = heard;
    const told = Math.max(heard.version, heard.newestVersion);
    this.newest = Math.max(this.newest, told);
    const isCurrent = this.current !== undefined && told <= this.rules.judgedVersion;
    this.options.contact.heard(instance, storeAgeMilliseconds, isCurrent);
    if (heard.version <= this.rules.judgedVersion && this.current !== undefined) {
      return;
    }
    if (this.options.contact.seesStore) {
      this.look();
      return;
    }
    this.askPeer(heard.instance).catch((failure: unknown) => {
      this.options.logger.warn({ failure: failureText(failure) }, 'peer configuration not read');
    });
  }

  /** Reads what is newer than the version in force. */
  public async poll(): Promise<void> {
    this.options.contact.noteActivity();
    this.pollRequests++;
    if (this.isPolling) {
      return;
    }
    this.isPolling = true;
    try {
      for (let served = 0; served < this.pollRequests;) {
        served = this.pollRequests;
        await this.readStore();
      }
    } finally {
      this.pollRequests = 0;
      this.isPolling = false;
    }
  }

  private get request(): UpdateRequest {
    return { after: this.rules.version, known: this.rules.judgedVersion };
  }

  private get isCaughtUp(): boolean {
    return this.rules.judgedVersion >= this.newest;
  }

  private look(): void {
    this.poll().catch((failure: unknown) => {
      this.options.logger.warn({ failure: failureText(failure) }, 'configuration not read');
    });
  }

  private async readStore(): Promise<void> {
    const sentAt = this.options.timers.now();
    const read = await this.options.store.read(this.request);
    this.reportStore(read.err ? read.val.message : undefined);
    if (read.err) {
      return;
    }
    this.newest = Math.max(this.newest, read.val.newest);
    this.take(read.val);
    const isCurrent = this.rules.judgedVersion >= read.val.newest;
    this.options.contact.sawStore(sentAt, isCurrent);
    if (read.val.newest < this.rules.version) {
      const fields = { stored: read.val.newest, version: this.rules.version };
      this.options.logger.error(fields, 'the store has an older configuration');
    }
  }

  private async askPeer(instance: InstanceId): Promise<void> {
    const source = this.options.peer(instance);
    if (source === undefined || this.isAskingPeer) {
      return;
    }
    this.isAskingPeer = true;
    try {
      const read = await source.read(this.request);
      if (read.ok) {
        this.newest = Math.max(this.newest, read.val.newest);
        this.take(read.val);
      }
    } finally {
      this.isAskingPeer = false;
    }
  }

  private take(update: Update): void {
    const blockedBefore = this.rules.blocked?.version;
    const difference = this.rules.take(update);
    this.reportBlocked(blockedBefore);
    const { current } = this;
    if (difference === undefined || current === undefined) {
      return;
    }
    this.options.metrics.gauge('configuration.version', current.version);
    this.options.logger.info({ version: current.version }, 'configuration in force');
    for (const listener of this.listeners) {
      this.tell(listener, current, difference);
    }
  }

  /** Calls a listener; its failure does not keep the others from being told. */
  private tell(
    listener: ConfigurationListener,
    configuration: Configuration,
    difference: ConfigurationDifference,
  ): void {
    try {
      listener(configuration, difference);
    } catch (failure) {
      const fields = { failure: failureText(failure), version: configuration.version };
      this.options.logger.error(fields, 'a listener of the configuration failed');
    }
  }

  /** Logs when the configuration in the store ceases to be readable, and when it is again. */
  private reportStore(failure: string | undefined): void {
    if (failure !== undefined && this.isStoreReadable) {
      this.options.logger.warn({ failure }, 'the configuration cannot be read from the store');
    }
    if (failure === undefined && !this.isStoreReadable) {
      this.options.logger.info({}, 'the configuration can be read from the store again');
    }
    this.isStoreReadable = failure === undefined;
  }

  private reportBlocked(blockedBefore: number | undefined): void {
    const { blocked } = this.rules;
    this.options.metrics.gauge('configuration.blocked_version', blocked?.version ?? 0);
    if (blocked !== undefined && blocked.version !== blockedBefore) {
      const fields = { reason: blocked.reason, version: blocked.version };
      this.options.logger.error(fields, 'an accepted configuration cannot be taken up');
    }
  }
}
