import type { ConfigurationVersion, Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';

import type { Configuration } from './configuration.js';
import type { Rule } from './rule.js';
import type { RuleError } from './ruleError.js';

import { parseRuleLine } from './parseRuleLine.js';
import { RuleIndex } from './ruleIndex.js';

/** Lines that a change removes and adds; a modified rule appears in both lists. */
export interface RuleDifference {
  readonly removed: readonly string[];
  readonly added: readonly string[];
}

/** Maximum number of rules in one version. */
export const MAXIMUM_RULES = 100_000;

/**
 * Set of rules, keyed by their lines and changed by differences. A difference is applied completely
 * or not at all. The cost of a valid one depends on its own size and on the rules that refer to the
 * changed ones, not on the size of the set.
 *
 * @example
 * const rules = new RuleSet();
 * rules.apply({ added: ['workspace utility rate=50 burst=100 # dana: pilot'], removed: [] });
 * rules.buildConfiguration(version).workspaces.size; // 1
 */
export class RuleSet {
  private readonly rules = new Map<string, Rule>();
  private index = new RuleIndex();

  /** Current number of rules. */
  public get size(): number {
    return this.rules.size;
  }

  /** Lines of the rules, in no particular order. */
  public get lines(): readonly string[] {
    return [...this.rules.keys()];
  }

  /** Finds the rule of a line; returns `undefined` if the line is not in the set. */
  public find(line: string): Rule | undefined {
    return this.rules.get(line);
  }

  /**
   * Applies a difference. Nothing changes if it has errors.
   *
   * @returns the rules removed and added, or all errors, whose line numbers count within `added`
   */
  public apply(difference: RuleDifference): Result<RuleChange, readonly RuleError[]> {
    const change = this.parseDifference(difference);
    if (change.err) {
      return change;
    }
    const { added, removed } = change.val;
    const changed = [...added.values(), ...removed.values()];
    removed.forEach(rule => {
      this.index.remove(rule);
    });
    const errors = [...added.values()].flatMap(rule => this.index.insert(rule));
    errors.push(...this.index.findBrokenReferences(changed));
    if (errors.length > 0) {
      this.rebuildIndex();
      return Err(errors);
    }
    for (const line of removed.keys()) {
      this.rules.delete(line);
    }
    for (const [line, rule] of added) {
      this.rules.set(line, rule);
    }
    return Ok({ added: [...added.values()], removed: [...removed.values()] });
  }

  /** Builds a configuration from the current rules. */
  public buildConfiguration(version: ConfigurationVersion): Configuration {
    return this.index.builder.build(version);
  }

  private parseDifference({
    added,
    removed,
  }: RuleDifference): Result<ParsedDifference, readonly RuleError[]> {
    const errors: RuleError[] = [];
    const change: ParsedDifference = { added: new Map(), removed: new Map() };
    for (const line of removed) {
      const rule = this.rules.get(line);
      if (rule === undefined || change.removed.has(line)) {
        errors.push({ expected: 'a line in force, to take it out', found: line, line: 0 });
      } else {
        change.removed.set(line, rule);
      }
    }
    for (const [position, line] of added.entries()) {
      const rule = parseRuleLine(line, position + 1);
      if (rule.err) {
        errors.push(...rule.val);
      } else if (change.added.has(line) || (this.rules.has(line) && !change.removed.has(line))) {
        errors.push({ expected: 'each line once', found: line, line: position + 1 });
      } else {
        change.added.set(line, rule.val);
      }
    }
    if (this.rules.size - change.removed.size + change.added.size > MAXIMUM_RULES) {
      errors.push({
        expected: `at most ${MAXIMUM_RULES} rules`,
        found: 'more',
        line: added.length,
      });
    }
    return errors.length === 0 ? Ok(change) : Err(errors);
  }

  private rebuildIndex(): void {
    this.index = new RuleIndex();
    for (const rule of this.rules.values()) {
      this.index.insert(rule);
    }
  }
}

/** Rules removed and added by a difference. */
export interface RuleChange {
  readonly added: readonly Rule[];
  readonly removed: readonly Rule[];
}

interface ParsedDifference {
  readonly added: Map<string, Rule>;
  readonly removed: Map<string, Rule>;
}
