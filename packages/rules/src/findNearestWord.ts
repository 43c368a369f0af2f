import { closest, distance } from 'fastest-levenshtein';

/** Maximum edit distance between a misspelt word and a suggested word. */
const MAXIMUM_EDIT_DISTANCE = 3;
/** Longer words get no suggestion, which bounds the time spent on a malformed file. */
const MAXIMUM_WORD_LENGTH = 64;

/**
 * Finds the known word nearest to a misspelt one; returns `undefined` if none is near.
 *
 * @example
 * findNearestWord('workspcae', ['workspace', 'key']); // 'workspace'
 */
export function findNearestWord(word: string, knownWords: readonly string[]): string | undefined {
  if (knownWords.length === 0 || word.length > MAXIMUM_WORD_LENGTH) {
    return undefined;
  }
  const candidate = closest(word, knownWords);
  return distance(word, candidate) <= MAXIMUM_EDIT_DISTANCE ? candidate : undefined;
}
