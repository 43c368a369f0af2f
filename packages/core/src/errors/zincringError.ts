import type { ErrorKind, Ran } from './errorKinds.js';

import { describeErrorKind } from './errorKinds.js';

/** Where a caller of a refused call can go on: the last turn that the program has taken. */
export interface ResumePoint {
  /** Number of the last turn taken. */
  readonly turn: number;
  /** Number of the last turn that is durable. */
  readonly durableTurn: number;
  /** Digest of the history up to `turn`. */
  readonly digest: string;
}

/** What may be given beside the kind. */
export interface ZincringErrorOptions {
  /** Details for the caller: never a key, a body or an address. */
  readonly detail?: string;
  /** Overrides the kind's default. */
  readonly ran?: Ran;
  /** Overrides the kind's default, in seconds. */
  readonly retryAfterSeconds?: number | null;
  /** Where the caller can go on. */
  readonly resume?: ResumePoint;
}

/** The JSON answer of a refusal. */
export interface ErrorReport {
  readonly kind: ErrorKind;
  readonly text: string;
  readonly detail?: string;
  readonly ran: Ran;
  readonly retryAfterSeconds: number | null;
  readonly resume?: ResumePoint;
}

/**
 * An error of the closed list.
 *
 * @example
 * return Err(new ZincringError('turn-conflict', { detail: 'expected turn 4, the next is 6' }));
 */
export class ZincringError extends Error {
  public readonly kind: ErrorKind;
  public readonly detail: string | undefined;
  public readonly ran: Ran;
  public readonly retryAfterSeconds: number | null;
  public readonly resume: ResumePoint | undefined;

  public constructor(kind: ErrorKind, options: ZincringErrorOptions = {}) {
    const descriptor = describeErrorKind(kind);
    super(options.detail === undefined ? descriptor.text : `${descriptor.text} ${options.detail}`);
    this.name = 'ZincringError';
    this.kind = kind;
    this.detail = options.detail;
    this.ran = options.ran ?? descriptor.ran;
    this.retryAfterSeconds =
      options.retryAfterSeconds === undefined
        ? descriptor.retryAfterSeconds
        : options.retryAfterSeconds;
    this.resume = options.resume;
  }

  /** HTTP status of the answer. */
  public get status(): number {
    return describeErrorKind(this.kind).status;
  }

  /** Restores an error that another instance reported. */
  public static fromReport(report: ErrorReport): ZincringError {
    return new ZincringError(report.kind, report);
  }

  /** The form in which callers and other instances see the error. */
  public toReport(): ErrorReport {
    return {
      kind: this.kind,
      text: describeErrorKind(this.kind).text,
      ...(this.detail === undefined ? {} : { detail: this.detail }),
      ran: this.ran,
      retryAfterSeconds: this.retryAfterSeconds,
      ...(this.resume === undefined ? {} : { resume: this.resume }),
    };
  }
}

/**
 * Wraps whatever was thrown; an unexpected error becomes the kind `internal`.
 *
 * @example
 * try { … } catch (error) { return Err(toZincringError(error)); }
 */
export function toZincringError(thrown: unknown): ZincringError {
  if (thrown instanceof ZincringError) {
    return thrown;
  }
  return new ZincringError('internal', {
    detail: thrown instanceof Error ? thrown.message : String(thrown),
  });
}
