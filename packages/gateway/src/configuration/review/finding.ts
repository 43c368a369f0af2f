/**
 * What a finding says of a configuration: `error` if it would be wrong in force, `unreachable` if an
 * entry can never match a request, `contradiction` if two limits cannot both be used, `change` for a
 * difference from the configuration in force.
 */
export type FindingKind = 'change' | 'contradiction' | 'error' | 'unreachable';

/** One finding of a review. */
export interface Finding {
  readonly kind: FindingKind;
  /** The entry it is about, for instance `route summaries`. */
  readonly subject: string;
  readonly text: string;
}

/**
 * Formats a finding as one line of text.
 *
 * @example
 * formatFinding({ kind: 'error', subject: 'route summaries', text: 'names no service' });
 * // 'error: route summaries: names no service'
 */
export function formatFinding({ kind, subject, text }: Finding): string {
  return `${kind}: ${subject}: ${text}`;
}
