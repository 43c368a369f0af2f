import type { Rule } from './rule.js';
import type { RuleError } from './ruleError.js';

import { ConfigurationBuilder } from './configurationBuilder.js';
import { withSuggestion } from './parseRuleLine.js';

/** Further reference errors get no suggestion, which bounds the time spent on a malformed file. */
const MAXIMUM_SUGGESTIONS = 100;

/** Property of a rule that must be unique among all rules. */
interface UniqueKey {
  /** Kind and value of the property, such as `path /outages`. */
  readonly uniqueKey: string;
  /** Expectation named in the error for a duplicate. */
  readonly expected: string;
}

/** Reference from one rule to another. */
interface Reference {
  readonly kind: 'service' | 'workspace';
  readonly name: string;
}

/**
 * Index of rules by their unique keys and references, updated one rule at a time. Only changed
 * rules and their dependents are checked, so the cost of a change does not grow with the number of
 * rules. After an error the index is inconsistent and must be discarded.
 */
export class RuleIndex {
  /** Builder of the configuration, which contains the same rules. */
  public readonly builder = new ConfigurationBuilder();
  private readonly rulesByUniqueKey = new Map<string, Rule>();
  private readonly dependentsByTarget = new Map<string, Set<Rule>>();

  /** Adds a rule; returns an error for each unique key that another rule already has. */
  public insert(rule: Rule): readonly RuleError[] {
    const errors: RuleError[] = [];
    for (const { expected, uniqueKey } of listUniqueKeys(rule)) {
      const first = this.rulesByUniqueKey.get(uniqueKey);
      if (first === undefined) {
        this.rulesByUniqueKey.set(uniqueKey, rule);
      } else {
        const text = `${expected}; the first is ${first.kind} ${first.name}`;
        errors.push({ expected: text, found: uniqueKey, line: rule.line });
      }
    }
    for (const reference of listReferences(rule)) {
      const targetKey = `${reference.kind} ${reference.name}`;
      const dependentRules = this.dependentsByTarget.get(targetKey) ?? new Set();
      this.dependentsByTarget.set(targetKey, dependentRules.add(rule));
    }
    this.builder.insert(rule);
    return errors;
  }

  /** Removes a rule. */
  public remove(rule: Rule): void {
    for (const { uniqueKey } of listUniqueKeys(rule)) {
      this.rulesByUniqueKey.delete(uniqueKey);
    }
    for (const reference of listReferences(rule)) {
      const targetKey = `${reference.kind} ${reference.name}`;
      const dependentRules = this.dependentsByTarget.get(targetKey);
      dependentRules?.delete(rule);
      if (dependentRules?.size === 0) {
        this.dependentsByTarget.delete(targetKey);
      }
    }
    this.builder.remove(rule);
  }

  /** Finds the references that are invalid after the given rules were added or removed. */
  public findBrokenReferences(changed: readonly Rule[]): readonly RuleError[] {
    const rulesToCheck = new Set<Rule>();
    for (const rule of changed) {
      if (this.rulesByUniqueKey.get(formatKindAndName(rule)) === rule) {
        rulesToCheck.add(rule);
      }
      for (const dependent of this.dependentsByTarget.get(formatKindAndName(rule)) ?? []) {
        rulesToCheck.add(dependent);
      }
    }
    const errors: RuleError[] = [];
    for (const rule of rulesToCheck) {
      for (const reference of listReferences(rule)) {
        const error = this.checkReference(rule, reference);
        if (error !== undefined) {
          errors.push(
            errors.length < MAXIMUM_SUGGESTIONS ? this.addSuggestion(error, reference) : error,
          );
        }
      }
    }
    return errors;
  }

  private checkReference(rule: Rule, { kind, name }: Reference): RuleError | undefined {
    const target = this.rulesByUniqueKey.get(`${kind} ${name}`);
    if (target === undefined) {
      return { expected: `the name of a ${kind} rule`, found: name, line: rule.line };
    }
    const needsPlainProtocol = rule.kind === 'route' && target.kind === 'service';
    return needsPlainProtocol && target.protocol !== 'plain'
      ? { expected: 'a service with protocol=plain', found: name, line: rule.line }
      : undefined;
  }

  private addSuggestion(error: RuleError, { kind, name }: Reference): RuleError {
    return this.rulesByUniqueKey.has(`${kind} ${name}`)
      ? error
      : withSuggestion(error, this.builder.listNames(kind));
  }
}

/** Formats the kind and name of a rule, by which other rules refer to it. */
function formatKindAndName(rule: Rule): string {
  return `${rule.kind} ${rule.name}`;
}

function listUniqueKeys(rule: Rule): readonly UniqueKey[] {
  const kindAndName = { expected: 'each rule once', uniqueKey: formatKindAndName(rule) };
  switch (rule.kind) {
    case 'key':
      return [kindAndName, { expected: 'each hash once', uniqueKey: `hash ${rule.hash}` }];
    case 'route':
      return [kindAndName, { expected: 'each path once', uniqueKey: `path ${rule.path}` }];
    case 'program':
    case 'service':
    case 'workspace':
      return [kindAndName];
  }
}

function listReferences(rule: Rule): readonly Reference[] {
  switch (rule.kind) {
    case 'key':
      return [{ kind: 'workspace', name: rule.workspace }];
    case 'program':
      return rule.services.map(name => ({ kind: 'service', name }));
    case 'route':
      return [{ kind: 'service', name: rule.service }];
    case 'service':
    case 'workspace':
      return [];
  }
}
