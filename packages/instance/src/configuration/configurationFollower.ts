import type { ConfigurationVersion, Logger, TimerService, TimerSubscription } from '@zincring/core';
import type { Change, VersionedChanges } from '@zincring/coordination';
import type { Configuration } from '@zincring/rules';

import { failureText } from '@zincring/core';
import { createConfiguration, parseRules } from '@zincring/rules';

/** What following the configuration needs. */
export interface ConfigurationFollowerOptions {
  readonly changes: VersionedChanges;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Time between looks at the head, in milliseconds. */
  readonly pollMilliseconds: number;
}

/** Called with every newer configuration. */
export type ConfigurationListener = (configuration: Configuration) => void;

/** Keeps the newest configuration in force; its version never goes down. */
export class ConfigurationFollower {
  private configuration: Configuration | undefined;
  private readonly lines = new Set<string>();
  private readonly listeners = new Set<ConfigurationListener>();
  private isPolling = false;
  private subscription: TimerSubscription | undefined;

  public constructor(private readonly options: ConfigurationFollowerOptions) {}

  /** The configuration in force; `undefined` until the first has been read. */
  public get current(): Configuration | undefined {
    return this.configuration;
  }

  /** Calls a listener with every newer configuration. */
  public subscribe(listener: ConfigurationListener): void {
    this.listeners.add(listener);
  }

  /** Begins to look for changes. */
  public start(): void {
    const poll = (): void => {
      this.poll().catch((failure: unknown) => {
        this.options.logger.warn({ failure: failureText(failure) }, 'configuration not read');
      });
    };
    this.subscription = this.options.timers.every(this.options.pollMilliseconds, poll);
    poll();
  }

  /** Stops looking. */
  public stop(): void {
    this.subscription?.stop();
  }

  /** Reads what is newer than the version in force. */
  public async poll(): Promise<void> {
    if (this.isPolling) {
      return;
    }
    this.isPolling = true;
    try {
      await this.readNewer();
    } finally {
      this.isPolling = false;
    }
  }

  private async readNewer(): Promise<void> {
    const head = await this.options.changes.readHead();
    const current = this.configuration?.version ?? -1;
    if (head.err || head.val.version <= current) {
      return;
    }
    const changes = await this.options.changes.readChanges(Math.max(0, current));
    if (changes.ok) {
      this.apply(changes.val, head.val.version);
    }
  }

  private apply(changes: readonly Change[], headVersion: number): void {
    let version = this.configuration?.version ?? 0;
    for (const change of changes) {
      change.removed.forEach(line => this.lines.delete(line));
      change.added.forEach(line => this.lines.add(line));
      version = change.version;
    }
    if (version < headVersion) {
      return;
    }
    const rules = parseRules([...this.lines].join('\n'));
    if (rules.err) {
      this.options.logger.error({ version }, 'an accepted configuration does not parse');
      return;
    }
    this.configuration = createConfiguration(version as ConfigurationVersion, rules.val);
    this.options.logger.info({ version }, 'configuration in force');
    for (const listener of this.listeners) {
      listener(this.configuration);
    }
  }
}
