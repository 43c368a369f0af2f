import type { Rule } from './rule.js';
import type { RuleError } from './ruleError.js';

import { ConfigurationBuilder } from './configurationBuilder.js';
import { withSuggestion } from './parseRuleLine.js';

/** References beyond these get no suggestion, which bounds the time that a broken file costs. */
const MOST_SUGGESTIONS = 100;

/** What a rule must not share with another rule. */
interface Claim {
  /** What is claimed, such as `path /outages`. */
  readonly subject: string;
  readonly expected: string;
}

/** A mention of another rule. */
interface Reference {
  readonly kind: 'service' | 'workspace';
  readonly name: string;
}

/**
 * Rules with what they claim and refer to, changed rule by rule. Errors are found from the
 * difference alone, so that a change costs no more with many rules than with few. After an error
 * the index is to be thrown away.
 */
export class RuleIndex {
  /** The rules by kind. */
  public readonly builder = new ConfigurationBuilder();
  private readonly claims = new Map<string, Rule>();
  private readonly dependents = new Map<string, Set<Rule>>();

  /** Adds a rule; gives the errors of what it shares with others. */
  public insert(rule: Rule): readonly RuleError[] {
    const errors: RuleError[] = [];
    for (const { expected, subject } of claimsOf(rule)) {
      const first = this.claims.get(subject);
      if (first === undefined) {
        this.claims.set(subject, rule);
      } else {
        const text = `${expected}; the first is ${first.kind} ${first.name}`;
        errors.push({ expected: text, found: subject, line: rule.line });
      }
    }
    for (const reference of referencesOf(rule)) {
      const subject = `${reference.kind} ${reference.name}`;
      const rules = this.dependents.get(subject) ?? new Set();
      this.dependents.set(subject, rules.add(rule));
    }
    this.builder.insert(rule);
    return errors;
  }

  /** Takes a rule out. */
  public remove(rule: Rule): void {
    for (const { subject } of claimsOf(rule)) {
      this.claims.delete(subject);
    }
    for (const reference of referencesOf(rule)) {
      const subject = `${reference.kind} ${reference.name}`;
      const rules = this.dependents.get(subject);
      rules?.delete(rule);
      if (rules?.size === 0) {
        this.dependents.delete(subject);
      }
    }
    this.builder.remove(rule);
  }

  /** The references that do not hold after rules were put in or taken out. */
  public findBrokenReferences(changed: readonly Rule[]): readonly RuleError[] {
    const judged = new Set<Rule>();
    for (const rule of changed) {
      if (this.claims.get(identityOf(rule)) === rule) {
        judged.add(rule);
      }
      for (const dependent of this.dependents.get(identityOf(rule)) ?? []) {
        judged.add(dependent);
      }
    }
    const errors: RuleError[] = [];
    for (const rule of judged) {
      for (const reference of referencesOf(rule)) {
        const error = this.checkReference(rule, reference);
        if (error !== undefined) {
          errors.push(errors.length < MOST_SUGGESTIONS ? this.suggest(error, reference) : error);
        }
      }
    }
    return errors;
  }

  private checkReference(rule: Rule, { kind, name }: Reference): RuleError | undefined {
    const target = this.claims.get(`${kind} ${name}`);
    if (target === undefined) {
      return { expected: `the name of a ${kind} rule`, found: name, line: rule.line };
    }
    const needsPlain = rule.kind === 'route' && target.kind === 'service';
    return needsPlain && target.protocol !== 'plain'
      ? { expected: 'a service with protocol=plain', found: name, line: rule.line }
      : undefined;
  }

  private suggest(error: RuleError, { kind, name }: Reference): RuleError {
    return this.claims.has(`${kind} ${name}`)
      ? error
      : withSuggestion(error, this.builder.names(kind));
  }
}

/** What stands for a rule in references: its kind and name. */
function identityOf(rule: Rule): string {
  return `${rule.kind} ${rule.name}`;
}

function claimsOf(rule: Rule): readonly Claim[] {
  const identity = { expected: 'each rule once', subject: identityOf(rule) };
  switch (rule.kind) {
    case 'key':
      return [identity, { expected: 'each hash once', subject: `hash ${rule.hash}` }];
    case 'route':
      return [identity, { expected: 'each path once', subject: `path ${rule.path}` }];
    case 'program':
    case 'service':
    case 'workspace':
      return [identity];
  }
}

function referencesOf(rule: Rule): readonly Reference[] {
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
