/** What stands in a log in place of a secret. */
export const REDACTED = '[redacted]';

/** Bearer tokens, and keys as `zincringctl keys issue` makes them, wherever they stand in a text. */
const SECRET_PATTERN = /(?<=\bBearer\s+)[\x21-\x7e]+|\bzincring-[A-Za-z0-9_-]{43}/gi;

/**
 * Takes keys out of text that goes to a log, such as the message of a failure.
 *
 * @example
 * redactSecrets('authorization: Bearer abc'); // 'authorization: Bearer [redacted]'
 */
export function redactSecrets(text: string): string {
  return text.replace(SECRET_PATTERN, REDACTED);
}
