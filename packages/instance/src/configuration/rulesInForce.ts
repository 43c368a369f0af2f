import type { ConfigurationVersion, KeyHash } from '@zincring/core';
import type { Change, Snapshot, Update } from '@zincring/coordination';
import type { Configuration, RuleDifference, RuleError } from '@zincring/rules';

import { diffRuleLines, formatRuleError, RuleSet } from '@zincring/rules';

import { ChangeHistory } from './changeHistory.js';

/** A version that this instance cannot take up, such as one with a setting that it does not know. */
export interface BlockedVersion {
  readonly version: number;
  /** The first errors, for a person. */
  readonly reason: string;
}

/** What changed when newer rules came into force. */
export interface ConfigurationDifference {
  /** Version that was in force before; `undefined` for the first. */
  readonly previousVersion: ConfigurationVersion | undefined;
  /** Keys that no longer hold. */
  readonly withdrawnKeys: readonly KeyHash[];
}

const MOST_ERRORS_TOLD = 3;
/** Finds key hashes also in lines that this instance cannot parse. */
const KEY_HASH_PATTERN = /\b[0-9a-f]{64}\b/g;

/**
 * The rules in force. Versions only grow. A version that cannot be taken up leaves the last good
 * one in force, except that keys which it withdraws cease to hold; later versions are tried
 * together with it, so that a further change can mend it.
 */
export class RulesInForce {
  private rules = new RuleSet();
  private readonly history = new ChangeHistory();
  private inForce: Configuration | undefined;
  private blockedVersion: BlockedVersion | undefined;
  private judged = 0;

  /** The configuration in force; `undefined` before the first update. */
  public get configuration(): Configuration | undefined {
    return this.inForce;
  }

  /** Version of the rules in force; 0 before the first. */
  public get version(): number {
    return this.inForce?.version ?? 0;
  }

  /** The newest version that was read, whether it could be taken up or not. */
  public get judgedVersion(): number {
    return this.judged;
  }

  /** The version that could not be taken up. */
  public get blocked(): BlockedVersion | undefined {
    return this.blockedVersion;
  }

  /**
   * Takes up an update as far as possible.
   *
   * @returns what changed; `undefined` when nothing did
   */
  public take(update: Update): ConfigurationDifference | undefined {
    const before = this.inForce;
    if (update.snapshot !== undefined && update.snapshot.version > this.version) {
      this.takeSnapshot(update.snapshot);
    }
    this.takeChanges(update.changes);
    if (this.inForce === undefined && this.blockedVersion === undefined) {
      this.putInForce(0);
    }
    return this.inForce === before ? undefined : describeDifference(before, this.inForce);
  }

  /** What brings a reader of a version up to what this instance has. */
  public updateAfter(after: number, newest: number): Update {
    if (after >= this.version) {
      return { changes: [], newest, snapshot: undefined };
    }
    return this.history.updateAfter(after, newest, () => ({
      lines: this.rules.lines,
      version: this.version,
    }));
  }

  private takeSnapshot({ lines, version }: Snapshot): void {
    const rules = new RuleSet();
    const applied = rules.apply({ added: lines, removed: [] });
    this.judged = Math.max(this.judged, version);
    if (applied.err) {
      this.block(version, applied.val, diffRuleLines(this.rules.lines, lines));
      return;
    }
    this.rules = rules;
    this.history.clear();
    this.putInForce(version);
  }

  private takeChanges(changes: readonly Change[]): void {
    const newer = changes.filter(change => change.version > this.version);
    const last = newer.at(-1);
    if (last === undefined || newer[0]?.version !== this.version + 1) {
      return;
    }
    const isNews = last.version > this.judged || this.inForce === undefined;
    this.judged = Math.max(this.judged, last.version);
    if (isNews && !this.takeTogether(newer)) {
      this.takeSingly(newer);
    }
  }

  private takeTogether(changes: readonly Change[]): boolean {
    const applied = this.rules.apply(mergeChanges(changes));
    if (applied.err) {
      return false;
    }
    this.putInForce(changes.at(-1)?.version ?? this.version);
    changes.forEach(change => {
      this.history.add(change);
    });
    return true;
  }

  private takeSingly(changes: readonly Change[]): void {
    for (const [position, change] of changes.entries()) {
      const applied = this.rules.apply(change);
      if (applied.err) {
        this.block(change.version, applied.val, mergeChanges(changes.slice(position)));
        return;
      }
      this.putInForce(change.version);
      this.history.add(change);
    }
  }

  private putInForce(version: number): void {
    this.inForce = this.rules.buildConfiguration(version as ConfigurationVersion);
    this.blockedVersion = undefined;
  }

  private block(version: number, errors: readonly RuleError[], difference: RuleDifference): void {
    const reason = errors.slice(0, MOST_ERRORS_TOLD).map(formatRuleError).join('; ');
    this.blockedVersion = { reason, version };
    if (this.inForce !== undefined) {
      this.inForce = this.withoutWithdrawnKeys(this.inForce, difference);
    }
  }

  private withoutWithdrawnKeys(
    configuration: Configuration,
    difference: RuleDifference,
  ): Configuration {
    const keys = new Map(configuration.keys);
    const kept = new Set(difference.added.flatMap(line => line.match(KEY_HASH_PATTERN) ?? []));
    for (const line of difference.removed) {
      const rule = this.rules.find(line);
      if (rule?.kind === 'key' && !kept.has(rule.hash)) {
        keys.delete(rule.hash);
      }
    }
    return keys.size === configuration.keys.size ? configuration : { ...configuration, keys };
  }
}

/** The difference that changes make together. */
function mergeChanges(changes: readonly Change[]): RuleDifference {
  const added = new Set<string>();
  const removed = new Set<string>();
  for (const change of changes) {
    for (const line of change.removed) {
      if (!added.delete(line)) {
        removed.add(line);
      }
    }
    for (const line of change.added) {
      if (!removed.delete(line)) {
        added.add(line);
      }
    }
  }
  return { added: [...added], removed: [...removed] };
}

function describeDifference(
  before: Configuration | undefined,
  after: Configuration | undefined,
): ConfigurationDifference {
  const isSame = before === undefined || before.keys === after?.keys;
  const withdrawnKeys = isSame
    ? []
    : [...before.keys.keys()].filter(hash => after?.keys.has(hash) !== true);
  return { previousVersion: before?.version, withdrawnKeys };
}
