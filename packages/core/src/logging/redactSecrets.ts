/** Replacement for a secret in a log line. */
export const REDACTED = '[redacted]';

/** Matches bearer tokens and keys issued by `zincringctl keys issue` anywhere in a text. */
const SECRET_PATTERN = /(?<=\bBearer\s+)[\x21-\x7e]+|\bzincring-[A-Za-z0-9_-]{43}/gi;

/**
 * Replaces keys in text that is logged, such as an error message.
 *
 * @example
 * redactSecrets('authorization: Bearer abc'); // 'authorization: Bearer [redacted]'
 */
export function redactSecrets(text: string): string {
  return text.replace(SECRET_PATTERN, REDACTED);
}
