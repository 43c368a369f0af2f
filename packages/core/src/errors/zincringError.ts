import type { ErrorKind, Ran } from './errorKinds.js';

import { describeErrorKind } from './errorKinds.js';

/** Point from which a caller can resume after a refusal: the last accepted turn of the program. */
export interface ResumePoint {
  /** Number of the last accepted turn. */
  readonly turn: number;
  /** Number of the last durable turn. */
  readonly durableTurn: number;
  /** Digest of the history up to and including `turn`. */
  readonly digest: string;
}

/** Options of a {@link ZincringError} besides its kind. */
export interface ZincringErrorOptions {
  /** Details for the caller; must not contain a key, a body or an address. */
  readonly detail?: string;
  /** Overrides the default of the kind. */
  readonly ran?: Ran;
  /** Overrides the default of the kind, in seconds. */
  readonly retryAfterSeconds?: number | null;
  /** Point from which the caller can resume. */
  readonly resume?: ResumePoint;
}

/** JSON form of an error, as callers and other instances receive it. */
export interface ErrorReport {
  readonly kind: ErrorKind;
  readonly text: string;
  readonly detail?: string;
  readonly ran: Ran;
  readonly retryAfterSeconds: number | null;
  readonly resume?: ResumePoint;
}

/**
 * Error with one of the listed kinds, reported to callers and other instances.
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

  /** HTTP status code of the response. */
  public get status(): number {
    return describeErrorKind(this.kind).status;
  }

  /** Recreates an error from the report of another instance. */
  public static fromReport(report: ErrorReport): ZincringError {
    return new ZincringError(report.kind, report);
  }

  /** Converts the error to the form sent to callers and other instances. */
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
 * Converts any thrown value to a {@link ZincringError}; an unexpected one gets the kind `internal`.
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
