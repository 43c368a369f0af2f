import pino from 'pino';

import { REDACTED, redactSecrets } from './redactSecrets.js';

/** Fields that may stand in a log line; keys and bodies may not. */
export interface LogFields {
  readonly program?: string;
  readonly call?: string;
  readonly workspace?: string;
  readonly instance?: string;
  readonly authorization?: never;
  readonly body?: never;
  readonly input?: never;
  readonly key?: never;
  readonly token?: never;
  readonly [field: string]: boolean | number | string | undefined;
}

/** Writes JSON lines. */
export interface Logger {
  debug(fields: LogFields, message: string): void;
  info(fields: LogFields, message: string): void;
  warn(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
  /** A logger that adds fields to every line. */
  child(fields: LogFields): Logger;
}

/** Levels that settings may name. */
export type LogLevel = 'debug' | 'error' | 'info' | 'silent' | 'warn';

/** Where log lines are written. */
export interface LogDestination {
  write(line: string): void;
}

/** Fields whose value never reaches the log, at the top of a line or one level below. */
const SECRET_FIELDS = [
  'answer',
  'authorization',
  'body',
  'bearer',
  'cookie',
  'headers',
  'history',
  'input',
  'key',
  'password',
  'payload',
  'prompt',
  'secret',
  'token',
];

/**
 * Makes the logger of a process: JSON lines on standard output, by pino. The types keep keys and
 * bodies out of the fields; as a second line of defence, fields of such names are redacted, and
 * so are keys within any text.
 *
 * @example
 * const logger = createLogger('info', { instance: 'entry-1' });
 */
export function createLogger(
  level: LogLevel,
  fields: LogFields = {},
  destination?: LogDestination,
): Logger {
  const options: pino.LoggerOptions = {
    base: { ...fields },
    formatters: { log: redactTexts },
    hooks: {
      logMethod(lineArguments, method) {
        const [first, message] = lineArguments as [object, string];
        method.apply(this, [first, redactSecrets(message)]);
      },
    },
    level,
    redact: {
      censor: REDACTED,
      paths: [...SECRET_FIELDS, ...SECRET_FIELDS.map(field => `*.${field}`)],
    },
  };
  return destination === undefined ? pino(options) : pino(options, destination);
}

/** Bytes that may wait for a standard output that nobody reads; lines beyond are dropped. */
const WAITING_LOG_BYTES = 1024 * 1024;

/**
 * Standard output as a destination that never holds up the process: lines are written in the
 * background, and dropped while too many wait.
 *
 * @example
 * const logger = createLogger('info', {}, createBackgroundOutput());
 */
export function createBackgroundOutput(): LogDestination {
  return pino.destination({ dest: 1, maxLength: WAITING_LOG_BYTES, sync: false });
}

/** A logger that writes nothing, for tests and embedding. */
export const silentLogger: Logger = pino({ level: 'silent' });

/**
 * Text for a log line of whatever was thrown.
 *
 * @example
 * logger.error({ failure: failureText(error) }, 'renewal failed');
 */
export function failureText(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

function redactTexts(fields: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      typeof value === 'string' ? redactSecrets(value) : value,
    ]),
  );
}
