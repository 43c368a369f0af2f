const VERSION_COMMENT_PATTERN = /^\ufeff?# version (\d{1,15})\s*$/m;

/**
 * Formats the comment with which `show` records the version that a rule file is based on. `apply`
 * rejects a file that is based on another version than the newest.
 *
 * @example
 * formatVersionComment(12); // '# version 12'
 */
export function formatVersionComment(version: number): string {
  return `# version ${version}`;
}

/** Version that a rule file is based on; `undefined` if it has no version comment. */
export function parseVersionComment(text: string): number | undefined {
  const digits = VERSION_COMMENT_PATTERN.exec(text)?.[1];
  return digits === undefined ? undefined : Number(digits);
}
