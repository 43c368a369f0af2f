/** Whether the work of a failed request took effect: possibly, certainly not or certainly. */
export type Ran = 'maybe' | 'no' | 'yes';

/** Properties that all errors of one kind share. */
export interface ErrorDescriptor {
  /** HTTP status code of the response. */
  readonly status: number;
  /** Default of {@link Ran}; an individual error may be less certain, never more. */
  readonly ran: Ran;
  /** Delay before the caller may retry, in seconds; `null` if a retry cannot succeed. */
  readonly retryAfterSeconds: number | null;
  /** Short text for users, without details. */
  readonly text: string;
}

/**
 * All error kinds with the response to each; no other kind exists.
 * docs/CALLERS.md contains the same table.
 */
export const errorKinds = {
  'bad-request': {
    status: 400,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'The request is malformed.',
  },
  'body-too-deep': {
    status: 400,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'The JSON body nests too deeply.',
  },
  'body-too-large': {
    status: 413,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'The body is too large.',
  },
  'budget-exhausted': {
    status: 402,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'The budget of the program is used up.',
  },
  'call-interrupted': {
    status: 502,
    ran: 'maybe',
    retryAfterSeconds: 1,
    text: 'The call was interrupted; its outcome is not known. Resend it with the same call id.',
  },
  'call-outcome-unknown': {
    status: 409,
    ran: 'maybe',
    retryAfterSeconds: null,
    text: 'The call may have run. It will not be run again.',
  },
  'deadline-exceeded': {
    status: 504,
    ran: 'maybe',
    retryAfterSeconds: null,
    text: 'The deadline of the call has passed.',
  },
  'deadline-exceeded-in-queue': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 2,
    text: 'The call could not start before its deadline.',
  },
  'headers-too-large': {
    status: 431,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'The headers are too large.',
  },
  'instance-memory-full': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 1,
    text: 'The instance holds as much for other calls as its memory allows.',
  },
  'instance-not-ready': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 2,
    text: 'The instance has no configuration yet.',
  },
  'instance-stopping': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 1,
    text: 'The instance is stopping and may not finish the call.',
  },
  internal: { status: 500, ran: 'maybe', retryAfterSeconds: null, text: 'An unexpected fault.' },
  'key-missing': { status: 401, ran: 'no', retryAfterSeconds: null, text: 'A key is required.' },
  'key-rejected': {
    status: 401,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'The key is not valid.',
  },
  'key-withdrawn-while-running': {
    status: 401,
    ran: 'maybe',
    retryAfterSeconds: null,
    text: 'The key was withdrawn while the call ran.',
  },
  'mailbox-full': {
    status: 429,
    ran: 'no',
    retryAfterSeconds: 1,
    text: 'Too many calls of this program are waiting.',
  },
  'method-not-allowed': {
    status: 405,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'The route does not take this method.',
  },
  'not-found': { status: 404, ran: 'no', retryAfterSeconds: null, text: 'There is no such route.' },
  'poison-request': {
    status: 422,
    ran: 'maybe',
    retryAfterSeconds: 600,
    text: 'The request brought down every upstream that ran it.',
  },
  'program-limit-reached': {
    status: 429,
    ran: 'no',
    retryAfterSeconds: 30,
    text: 'The workspace has too many open programs.',
  },
  'program-not-found': {
    status: 404,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'There is no such program.',
  },
  'program-ended': {
    status: 410,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'The program has ended.',
  },
  'queue-full': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 2,
    text: 'Too many calls are waiting for this service.',
  },
  'rate-limited': {
    status: 429,
    ran: 'no',
    retryAfterSeconds: 1,
    text: 'The workspace is over its rate.',
  },
  'service-not-found': {
    status: 404,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'There is no such service.',
  },
  'shard-unavailable': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 2,
    text: 'The program is being taken over by another instance.',
  },
  'store-unavailable': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 5,
    text: 'The store cannot be reached, and the call needs it.',
  },
  'too-many-connections': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 2,
    text: 'The instance has too many connections.',
  },
  'turn-conflict': {
    status: 409,
    ran: 'no',
    retryAfterSeconds: null,
    text: 'The expected turn is not the next turn of the program.',
  },
  'slow-sender': {
    status: 408,
    ran: 'no',
    retryAfterSeconds: 1,
    text: 'The request arrived too slowly.',
  },
  'undurable-limit-reached': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 5,
    text: 'The store is out, and no more turns can be kept without it.',
  },
  'upstream-failed': {
    status: 502,
    ran: 'maybe',
    retryAfterSeconds: 1,
    text: 'The upstream failed.',
  },
  'upstream-unavailable': {
    status: 503,
    ran: 'no',
    retryAfterSeconds: 2,
    text: 'No upstream of the service can take the call.',
  },
} as const satisfies Readonly<Record<string, ErrorDescriptor>>;

/** One kind of error. */
export type ErrorKind = keyof typeof errorKinds;

/** All error kinds, in the order of the table. */
export const allErrorKinds = Object.keys(errorKinds) as readonly ErrorKind[];

/**
 * Returns the properties that all errors of a kind share.
 *
 * @example
 * describeErrorKind('rate-limited').status; // 429
 */
export function describeErrorKind(kind: ErrorKind): ErrorDescriptor {
  return errorKinds[kind];
}

/**
 * Checks whether a text is the name of an error kind.
 *
 * @example
 * isErrorKind('rate-limited'); // true
 */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(errorKinds, text);
}
