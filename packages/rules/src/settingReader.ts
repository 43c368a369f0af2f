import { isIdentifier } from '@zincring/core';

/** The settings of one rule while they are read; what fails is collected, nothing is thrown. */
export class SettingReader {
  private readonly failures: { readonly found: string; readonly expected: string }[] = [];

  public constructor(private readonly settings: ReadonlyMap<string, string>) {}

  /** What was found wrong so far. */
  public get errors(): readonly { readonly found: string; readonly expected: string }[] {
    return this.failures;
  }

  /** Reads a number within bounds. */
  public number(name: string, minimum: number, maximum: number, fallback?: number): number {
    const text = this.settings.get(name);
    if (text === undefined) {
      return this.missing(name, fallback) ?? minimum;
    }
    const value = /^\d+(\.\d+)?$/.test(text) ? Number(text) : Number.NaN;
    if (!(value >= minimum && value <= maximum)) {
      this.fail(`${name}=${text}`, `${name}=NUMBER from ${minimum} to ${maximum}`);
      return minimum;
    }
    return value;
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

  /** Reads identifiers separated by commas. */
  public identifiers(name: string): readonly string[] {
    const text = this.matching(
      name,
      list => list.split(',').every(isIdentifier),
      'identifiers separated by commas',
    );
    return text.split(',');
  }

  /** Reads text that passes a test. */
  public matching(name: string, isValid: (text: string) => boolean, expected: string): string {
    const text = this.settings.get(name);
    if (text === undefined) {
      this.missing(name, undefined);
      return '';
    }
    if (!isValid(text)) {
      this.fail(`${name}=${text}`, `${name}= with ${expected}`);
    }
    return text;
  }

  private missing(name: string, fallback: number | undefined): number | undefined {
    if (fallback === undefined) {
      this.fail('nothing', `the setting ${name}=`);
    }
    return fallback;
  }

  private fail(found: string, expected: string): void {
    this.failures.push({ expected, found });
  }
}
