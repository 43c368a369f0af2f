import type { ConfigurationVersion, Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';

import type { Configuration } from './configuration.js';
import type { Rule } from './rule.js';
import type { RuleError } from './ruleError.js';

import { parseRuleLine } from './parseRuleLine.js';
import { RuleIndex } from './ruleIndex.js';

/** Lines that a change takes out and puts in; a rule that changes is in both. */
export interface RuleDifference {
  readonly removed: readonly string[];
  readonly added: readonly string[];
}

/** Most rules of one version. */
export const MOST_RULES = 100_000;

/**
 * The rules in force as lines, changed by differences. A difference takes effect whole or not at
 * all; what it costs depends on its own size.
 *
 * @example
 * const rules = new RuleSet();
 * rules.apply({ added: ['workspace utility rate=50 burst=100 # dana: pilot'], removed: [] });
 * rules.configuration(version).workspaces.size; // 1
 */
export class RuleSet {
  private readonly rules = new Map<string, Rule>();
  private index = new RuleIndex();

  /** Number of rules. */
  public get size(): number {
    return this.rules.size;
  }

  /** The lines, in no order. */
  public get lines(): readonly string[] {
    return [...this.rules.keys()];
  }

  /** Finds the rule of a line. */
  public find(line: string): Rule | undefined {
    return this.rules.get(line);
  }

  /**
   * Applies a difference.
   *
   * @returns the rules taken out and put in, or every error, with lines counted within `added`;
   * after errors nothing has changed
   */
  public apply(difference: RuleDifference): Result<RuleChange, readonly RuleError[]> {
    const change = this.readChange(difference);
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

  /** The rules as a configuration. */
  public configuration(version: ConfigurationVersion): Configuration {
    return this.index.builder.build(version);
  }

  private readChange({ added, removed }: RuleDifference): Result<LineChange, readonly RuleError[]> {
    const errors: RuleError[] = [];
    const change: LineChange = { added: new Map(), removed: new Map() };
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
    if (this.rules.size - change.removed.size + change.added.size > MOST_RULES) {
      errors.push({ expected: `at most ${MOST_RULES} rules`, found: 'more', line: added.length });
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

/** What a difference changed. */
export interface RuleChange {
  readonly added: readonly Rule[];
  readonly removed: readonly Rule[];
}

interface LineChange {
  readonly added: Map<string, Rule>;
  readonly removed: Map<string, Rule>;
}
