import { closest, distance } from 'fastest-levenshtein';

/** Most edits between a misspelt word and the word that is suggested for it. */
const LARGEST_SUGGESTED_DISTANCE = 3;
/** Longer words get no suggestion, which bounds the time that a broken file costs. */
const LONGEST_WORD = 64;

/**
 * Finds the known word nearest to a misspelt one; `undefined` when none is near.
 *
 * @example
 * nearestWord('workspcae', ['workspace', 'key']); // 'workspace'
 */
export function nearestWord(word: string, known: readonly string[]): string | undefined {
  if (known.length === 0 || word.length > LONGEST_WORD) {
    return undefined;
  }
  const candidate = closest(word, known);
  return distance(word, candidate) <= LARGEST_SUGGESTED_DISTANCE ? candidate : undefined;
}
