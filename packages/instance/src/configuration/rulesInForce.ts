import type { ConfigurationVersion, KeyHash } from '@zincring/core';
import type { Change, Snapshot, Update } from '@zincring/coordination';
import type { Configuration, RuleDifference, RuleError } from '@zincring/rules';

import { diffRuleLines, formatRuleError, RuleSet } from '@zincring/rules';

import { ChangeHistory } from './changeHistory.js';

/** A version that this instance cannot apply, such as one with a setting that it does not know. */
export interface BlockedVersion {
  readonly version: number;
  /** The first errors as human-readable text. */
  readonly reason: string;
}

/** Difference between newer rules and those that they replaced. */
export interface ConfigurationDifference {
  /** Version that was in force before; `undefined` for the first. */
  readonly previousVersion: ConfigurationVersion | undefined;
  /** Keys that are no longer valid. */
  readonly withdrawnKeys: readonly KeyHash[];
}

const MAXIMUM_REPORTED_ERRORS = 3;
/** Matches key hashes, also in lines that this instance cannot parse. */
const KEY_HASH_PATTERN = /\b[0-9a-f]{64}\b/g;

/**
 * Holds the rules in force, whose version never decreases. When a version cannot be applied, the
 * last valid one stays in force, except that the keys that the newer version withdraws become
 * invalid. Later changes are first applied together with it, so that one of them can correct it.
 */
export class RulesInForce {
  private rules = new RuleSet();
  private readonly history = new ChangeHistory();
  private configurationInForce: Configuration | undefined;
  private blockedVersion: BlockedVersion | undefined;
  private highestEvaluated = 0;

  /** Configuration in force; `undefined` before the first update. */
  public get configuration(): Configuration | undefined {
    return this.configurationInForce;
  }

  /** Version of the rules in force; 0 before the first. */
  public get version(): number {
    return this.configurationInForce?.version ?? 0;
  }

  /** Newest version that was evaluated, whether it could be applied or not. */
  public get evaluatedVersion(): number {
    return this.highestEvaluated;
  }

  /** Version that could not be applied; `undefined` when there is none. */
  public get blocked(): BlockedVersion | undefined {
    return this.blockedVersion;
  }

  /**
   * Applies an update as far as possible.
   *
   * @returns the difference; `undefined` when nothing changed
   */
  public applyUpdate(update: Update): ConfigurationDifference | undefined {
    const previous = this.configurationInForce;
    if (update.snapshot !== undefined && update.snapshot.version > this.version) {
      this.applySnapshot(update.snapshot);
    }
    this.applyChanges(update.changes);
    if (this.configurationInForce === undefined && this.blockedVersion === undefined) {
      this.activate(0);
    }
    return this.configurationInForce === previous
      ? undefined
      : describeDifference(previous, this.configurationInForce);
  }

  /** Returns the update that brings a reader of a version up to the one in force here. */
  public getUpdateAfter(after: number, newest: number): Update {
    if (after >= this.version) {
      return { changes: [], newest, snapshot: undefined };
    }
    return this.history.getUpdateAfter(after, newest, () => ({
      lines: this.rules.lines,
      version: this.version,
    }));
  }

  private applySnapshot({ lines, version }: Snapshot): void {
    const rules = new RuleSet();
    const applied = rules.apply({ added: lines, removed: [] });
    this.highestEvaluated = Math.max(this.highestEvaluated, version);
    if (applied.err) {
      this.block(version, applied.val, diffRuleLines(this.rules.lines, lines));
      return;
    }
    this.rules = rules;
    this.history.clear();
    this.activate(version);
  }

  private applyChanges(changes: readonly Change[]): void {
    const newer = changes.filter(change => change.version > this.version);
    const newest = newer.at(-1);
    if (newest === undefined || newer[0]?.version !== this.version + 1) {
      return;
    }
    const needsEvaluation =
      newest.version > this.highestEvaluated || this.configurationInForce === undefined;
    this.highestEvaluated = Math.max(this.highestEvaluated, newest.version);
    if (needsEvaluation && !this.applyMerged(newer)) {
      this.applyOneByOne(newer);
    }
  }

  private applyMerged(changes: readonly Change[]): boolean {
    const applied = this.rules.apply(mergeChanges(changes));
    if (applied.err) {
      return false;
    }
    this.activate(changes.at(-1)?.version ?? this.version);
    changes.forEach(change => {
      this.history.add(change);
    });
    return true;
  }

  private applyOneByOne(changes: readonly Change[]): void {
    for (const [position, change] of changes.entries()) {
      const applied = this.rules.apply(change);
      if (applied.err) {
        this.block(change.version, applied.val, mergeChanges(changes.slice(position)));
        return;
      }
      this.activate(change.version);
      this.history.add(change);
    }
  }

  private activate(version: number): void {
    this.configurationInForce = this.rules.buildConfiguration(version as ConfigurationVersion);
    this.blockedVersion = undefined;
  }

  private block(version: number, errors: readonly RuleError[], difference: RuleDifference): void {
    const reason = errors.slice(0, MAXIMUM_REPORTED_ERRORS).map(formatRuleError).join('; ');
    this.blockedVersion = { reason, version };
    if (this.configurationInForce !== undefined) {
      this.configurationInForce = this.withoutWithdrawnKeys(this.configurationInForce, difference);
    }
  }

  private withoutWithdrawnKeys(
    configuration: Configuration,
    difference: RuleDifference,
  ): Configuration {
    const keys = new Map(configuration.keys);
    const retainedHashes = new Set(
      difference.added.flatMap(line => line.match(KEY_HASH_PATTERN) ?? []),
    );
    for (const line of difference.removed) {
      const rule = this.rules.find(line);
      if (rule?.kind === 'key' && !retainedHashes.has(rule.hash)) {
        keys.delete(rule.hash);
      }
    }
    return keys.size === configuration.keys.size ? configuration : { ...configuration, keys };
  }
}

/** Combines changes into a single difference. */
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
  previous: Configuration | undefined,
  current: Configuration | undefined,
): ConfigurationDifference {
  const areKeysUnchanged = previous === undefined || previous.keys === current?.keys;
  const withdrawnKeys = areKeysUnchanged
    ? []
    : [...previous.keys.keys()].filter(hash => current?.keys.has(hash) !== true);
  return { previousVersion: previous?.version, withdrawnKeys };
}
