import pino from 'pino';

/** Fields that may stand in a log line; there is none for keys or bodies. */
export interface LogFields {
  readonly program?: string;
  readonly call?: string;
  readonly workspace?: string;
  readonly instance?: string;
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

/**
 * Makes the logger of a process: JSON lines on standard output, by pino.
 *
 * @example
 * const logger = createLogger('info', { instance: 'entry-1' });
 */
export function createLogger(level: LogLevel, fields: LogFields = {}): Logger {
  return pino({ level, base: { ...fields } });
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
