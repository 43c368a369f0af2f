import pino from 'pino';

import { redactFields } from './redactFields.js';
import { redactSecrets } from './redactSecrets.js';

/** Fields of a log line. The type excludes fields that could contain keys or bodies. */
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

/** Writes log lines as JSON. */
export interface Logger {
  debug(fields: LogFields, message: string): void;
  info(fields: LogFields, message: string): void;
  warn(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
  /** Creates a logger that adds fields to every line. */
  child(fields: LogFields): Logger;
}

/** Log levels accepted in the settings. */
export type LogLevel = 'debug' | 'error' | 'info' | 'silent' | 'warn';

/** Destination of log lines. */
export interface LogDestination {
  write(line: string): void;
}

/**
 * Creates the logger of a process, which writes JSON lines to standard output unless a destination
 * is given. The types exclude keys and bodies from the fields; as a second line of defence, fields
 * with such names are redacted, and so are keys inside messages and text fields.
 *
 * @example
 * const logger = createLogger('info', { instance: 'entry-1' });
 */
export function createLogger(
  level: LogLevel,
  fields: LogFields = {},
  destination?: LogDestination,
): Logger {
  const options: pino.LoggerOptions = { base: redactFields(fields), level };
  return new RedactingLogger(
    destination === undefined ? pino(options) : pino(options, destination),
  );
}

/** Redacts fields and messages before they are written. */
class RedactingLogger implements Logger {
  public constructor(private readonly inner: pino.Logger) {}

  public debug(fields: LogFields, message: string): void {
    this.write('debug', fields, message);
  }

  public info(fields: LogFields, message: string): void {
    this.write('info', fields, message);
  }

  public warn(fields: LogFields, message: string): void {
    this.write('warn', fields, message);
  }

  public error(fields: LogFields, message: string): void {
    this.write('error', fields, message);
  }

  public child(fields: LogFields): Logger {
    return new RedactingLogger(this.inner.child(redactFields(fields)));
  }

  private write(level: Exclude<LogLevel, 'silent'>, fields: LogFields, message: string): void {
    if (this.inner.isLevelEnabled(level)) {
      this.inner[level](redactFields(fields), redactSecrets(message));
    }
  }
}

/** Logger that writes nothing, for tests and embedding. */
export const silentLogger: Logger = pino({ level: 'silent' });

/**
 * Converts any thrown value to text for a log line.
 *
 * @example
 * logger.error({ failure: failureText(error) }, 'renewal failed');
 */
export function failureText(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
