const MARK_PATTERN = /^\ufeff?# version (\d{1,15})\s*$/m;

/**
 * The comment by which `show` marks the version that a file was made from; `apply` refuses a file
 * with the mark of another version than the newest.
 *
 * @example
 * writeVersionMark(12); // '# version 12'
 */
export function writeVersionMark(version: number): string {
  return `# version ${version}`;
}

/** The version that a file was made from; `undefined` without a mark. */
export function readVersionMark(text: string): number | undefined {
  const digits = MARK_PATTERN.exec(text)?.[1];
  return digits === undefined ? undefined : Number(digits);
}
