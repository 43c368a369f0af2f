import { launch, type LaunchedProcess } from './childProcess.js';

/** A stand-in that runs as a child process. */
export interface StandInProcess {
  readonly process: LaunchedProcess;
  /** IP address and port. */
  readonly address: string;
}

/**
 * Starts a stand-in and waits until it listens.
 *
 * @example
 * const platform = await launchStandIn('platform', ['--lag-milliseconds', '500']);
 */
export async function launchStandIn(
  role: 'engine' | 'plain-service' | 'platform',
  commandLine: readonly string[] = [],
): Promise<StandInProcess> {
  return await new Promise(resolve => {
    const process = launch({
      commandLine: ['--role', role, ...commandLine],
      name: role,
      onLine: line => {
        const { address } = JSON.parse(line) as { readonly address: string };
        resolve({ address, process });
      },
      script: 'stand-ins/dist/main.js',
    });
  });
}
