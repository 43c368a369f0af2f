/**
 * The rule lines of a file in canonical form: no empty lines, no comment lines, one space
 * between words.
 *
 * @example
 * ruleLines('# head\nworkspace  a rate=1 burst=1 # b: c'); // ['workspace a rate=1 burst=1 # b: c']
 */
export function ruleLines(text: string): readonly string[] {
  return text
    .split(/\r?\n/)
    .map(line => line.trim().replace(/\s+/g, ' '))
    .filter(line => line !== '' && !line.startsWith('#'));
}
