import type { Logger } from '../logging/logger.js';

import { failureText } from '../logging/logger.js';

/** Options of {@link handleProcessSignals}. */
export interface ProcessSignalOptions {
  readonly logger: Logger;
  /** Stops what the process serves; called once, however many signals arrive. */
  readonly stop: () => Promise<void>;
  /** Called right before the process exits. */
  readonly beforeExit?: () => void;
}

/** Signals that begin a planned stop. */
const STOP_SIGNALS = ['SIGINT', 'SIGTERM'] as const;

/**
 * Begins a planned stop at the first signal that asks for one, and exits when it has finished. Further signals change
 * nothing.
 *
 * @example
 * handleProcessSignals({ logger, stop: async () => await gateway.stop() });
 */
export function handleProcessSignals(options: ProcessSignalOptions): void {
  const { logger } = options;
  let isStopping = false;
  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => {
      if (isStopping) {
        logger.info({ event: 'signal-ignored', signal }, 'ignored: the process already stops');
        return;
      }
      isStopping = true;
      void stopAndExit(options);
    });
  }
  process.on('SIGHUP', () => {
    logger.info({ event: 'reload' }, 'ignored: settings are only read at startup');
  });
}

async function stopAndExit({ beforeExit, logger, stop }: ProcessSignalOptions): Promise<void> {
  let exitCode = 0;
  try {
    await stop();
  } catch (failure) {
    exitCode = 1;
    logger.error({ event: 'stop-failed', failure: failureText(failure) }, 'shutdown failed');
  }
  beforeExit?.();
  process.exit(exitCode);
}
