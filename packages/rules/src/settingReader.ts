import { isIdentifier } from '@zincring/core';

/** Error in one setting. */
export interface SettingError {
  /** Text that was read. */
  readonly found: string;
  /** Description of the expected text. */
  readonly expected: string;
}

/** Bounds and default value of a numeric setting. */
export interface NumberBounds {
  readonly minimum: number;
  readonly maximum: number;
  /** Value if the setting is omitted; without a default the setting is required. */
  readonly defaultValue?: number;
}

/** Maximum length of a number in characters, including the decimal point. */
const MAXIMUM_NUMBER_LENGTH = 16;

/** Reads the settings of one rule. Errors are collected instead of thrown. */
export class SettingReader {
  private readonly collectedErrors: SettingError[] = [];

  public constructor(private readonly settings: ReadonlyMap<string, string>) {}

  /** Errors found so far. */
  public get errors(): readonly SettingError[] {
    return this.collectedErrors;
  }

  /** Reads a number with or without decimals. */
  public readDecimal(name: string, bounds: NumberBounds): number {
    return this.readNumber(name, bounds, /^\d+(\.\d+)?$/, 'NUMBER');
  }

  /** Reads a number without decimals. */
  public readInteger(name: string, bounds: NumberBounds): number {
    return this.readNumber(name, bounds, /^\d+$/, 'INTEGER');
  }

  /** Reads one of several allowed words. */
  public readWord<Word extends string>(
    name: string,
    allowedWords: readonly Word[],
    defaultValue: Word,
  ): Word {
    const text = this.settings.get(name);
    if (text === undefined) {
      return defaultValue;
    }
    const matchingWord = allowedWords.find(word => word === text);
    if (matchingWord === undefined) {
      this.addError(`${name}=${text}`, `${name}=${allowedWords.join('|')}`);
    }
    return matchingWord ?? defaultValue;
  }

  /** Reads an identifier. */
  public readIdentifier(name: string): string {
    return this.readMatching(name, isIdentifier, 'an identifier');
  }

  /** Reads distinct identifiers separated by commas. */
  public readIdentifiers(name: string): readonly string[] {
    const text = this.readMatching(
      name,
      list => areDistinctIdentifiers(list.split(',')),
      'different identifiers separated by commas',
    );
    return text.split(',');
  }

  /** Reads text that satisfies `isValid`; `expected` describes valid text in the error. */
  public readMatching(name: string, isValid: (text: string) => boolean, expected: string): string {
    const text = this.settings.get(name);
    if (text === undefined) {
      this.addMissingError(name);
      return '';
    }
    if (!isValid(text)) {
      this.addError(`${name}=${text}`, `${name}= with ${expected}`);
    }
    return text;
  }

  private readNumber(
    name: string,
    bounds: NumberBounds,
    pattern: RegExp,
    typeName: string,
  ): number {
    const text = this.settings.get(name);
    if (text === undefined) {
      if (bounds.defaultValue === undefined) {
        this.addMissingError(name);
      }
      return bounds.defaultValue ?? bounds.minimum;
    }
    const isNumber = text.length <= MAXIMUM_NUMBER_LENGTH && pattern.test(text);
    const value = isNumber ? Number(text) : Number.NaN;
    if (!(value >= bounds.minimum && value <= bounds.maximum)) {
      const expected = `${name}=${typeName} from ${bounds.minimum} to ${bounds.maximum}`;
      this.addError(`${name}=${text}`, expected);
      return bounds.minimum;
    }
    return value;
  }

  private addMissingError(name: string): void {
    this.addError('nothing', `the setting ${name}=`);
  }

  private addError(found: string, expected: string): void {
    this.collectedErrors.push({ expected, found });
  }
}

function areDistinctIdentifiers(words: readonly string[]): boolean {
  return words.every(isIdentifier) && new Set(words).size === words.length;
}
