import { isIdentifier } from '@zincring/core';

/** A setting that was found wrong. */
export interface SettingFailure {
  /** What was read. */
  readonly found: string;
  /** What was expected instead. */
  readonly expected: string;
}

/** Bounds of a number, and what stands for it when the setting is left out. */
export interface NumberBounds {
  readonly minimum: number;
  readonly maximum: number;
  /** Without one the setting is required. */
  readonly fallback?: number;
}

/** Most digits of a number, before and after the point together. */
const LONGEST_NUMBER = 16;

/** The settings of one rule while they are read; what fails is collected, nothing is thrown. */
export class SettingReader {
  private readonly failures: SettingFailure[] = [];

  public constructor(private readonly settings: ReadonlyMap<string, string>) {}

  /** What was found wrong so far. */
  public get errors(): readonly SettingFailure[] {
    return this.failures;
  }

  /** Reads a number, with decimals or without. */
  public decimal(name: string, bounds: NumberBounds): number {
    return this.number(name, bounds, /^\d+(\.\d+)?$/, 'NUMBER');
  }

  /** Reads a number without decimals. */
  public integer(name: string, bounds: NumberBounds): number {
    return this.number(name, bounds, /^\d+$/, 'INTEGER');
  }

  /** Reads one of several words. */
  public word<Word extends string>(name: string, words: readonly Word[], fallback: Word): Word {
    const text = this.settings.get(name);
    if (text === undefined) {
      return fallback;
    }
    const known = words.find(word => word === text);
    if (known === undefined) {
      this.fail(`${name}=${text}`, `${name}=${words.join('|')}`);
    }
    return known ?? fallback;
  }

  /** Reads an identifier. */
  public identifier(name: string): string {
    return this.matching(name, isIdentifier, 'an identifier');
  }

  /** Reads different identifiers separated by commas. */
  public identifiers(name: string): readonly string[] {
    const text = this.matching(
      name,
      list => isListOfIdentifiers(list.split(',')),
      'different identifiers separated by commas',
    );
    return text.split(',');
  }

  /** Reads text that passes a test. */
  public matching(name: string, isValid: (text: string) => boolean, expected: string): string {
    const text = this.settings.get(name);
    if (text === undefined) {
      this.missing(name);
      return '';
    }
    if (!isValid(text)) {
      this.fail(`${name}=${text}`, `${name}= with ${expected}`);
    }
    return text;
  }

  private number(name: string, bounds: NumberBounds, pattern: RegExp, sort: string): number {
    const text = this.settings.get(name);
    if (text === undefined) {
      if (bounds.fallback === undefined) {
        this.missing(name);
      }
      return bounds.fallback ?? bounds.minimum;
    }
    const isNumber = text.length <= LONGEST_NUMBER && pattern.test(text);
    const value = isNumber ? Number(text) : Number.NaN;
    if (!(value >= bounds.minimum && value <= bounds.maximum)) {
      const expected = `${name}=${sort} from ${bounds.minimum} to ${bounds.maximum}`;
      this.fail(`${name}=${text}`, expected);
      return bounds.minimum;
    }
    return value;
  }

  private missing(name: string): void {
    this.fail('nothing', `the setting ${name}=`);
  }

  private fail(found: string, expected: string): void {
    this.failures.push({ expected, found });
  }
}

function isListOfIdentifiers(words: readonly string[]): boolean {
  return words.every(isIdentifier) && new Set(words).size === words.length;
}
