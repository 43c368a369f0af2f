import pino from 'pino';

import type { TimerService, TimerSubscription } from '../time/timerService.js';
import type { LogDestination } from './logger.js';

/** Maximum size of the buffer for a standard output that is not read; further lines are dropped. */
const MAXIMUM_BUFFERED_LOG_BYTES = 1024 * 1024;
/** Time for which a line waits for others at most, in milliseconds: a reader does not notice it. */
const COLLECTION_MILLISECONDS = 250;
/** Number of collected characters that are written at once. */
const MAXIMUM_COLLECTED_CHARACTERS = 16_384;

/**
 * Collects log lines and writes them together, since each write that does not block wakes another thread
 * of the process. At most 250 ms of lines are lost if the process is killed.
 *
 * @example
 * const output = new BackgroundOutput(destination, timers);
 * output.write('{"msg":"ready"}\n');
 */
export class BackgroundOutput implements LogDestination {
  private collected = '';
  private timer: TimerSubscription | undefined;

  public constructor(
    private readonly destination: LogDestination,
    private readonly timers: TimerService,
  ) {}

  public write(line: string): void {
    this.collected += line;
    if (this.collected.length >= MAXIMUM_COLLECTED_CHARACTERS) {
      this.flush();
      return;
    }
    this.timer ??= this.timers.after(COLLECTION_MILLISECONDS, () => {
      this.flush();
    });
  }

  /** Writes the collected lines now, as before an exit of the process. */
  public flush(): void {
    this.timer?.stop();
    this.timer = undefined;
    if (this.collected !== '') {
      this.destination.write(this.collected);
      this.collected = '';
    }
  }
}

/**
 * Creates a destination that writes to standard output without blocking the process: lines are
 * written together and asynchronously, and dropped while the buffer is full.
 *
 * @example
 * const logger = createLogger('info', {}, createBackgroundOutput(timers));
 */
export function createBackgroundOutput(timers: TimerService): BackgroundOutput {
  const destination = pino.destination({
    dest: 1,
    maxLength: MAXIMUM_BUFFERED_LOG_BYTES,
    sync: false,
  });
  return new BackgroundOutput(destination, timers);
}
