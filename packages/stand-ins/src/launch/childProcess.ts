import type { ChildProcess } from 'node:child_process';

import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

/** Handle of a started child process. */
export class LaunchedProcess {
  private readonly exitCode: Promise<number | null>;

  public constructor(
    public readonly name: string,
    private readonly child: ChildProcess,
  ) {
    this.exitCode = new Promise(resolve => child.once('exit', resolve));
  }

  /** The operating system's identifier of the process. */
  public get processId(): number {
    return this.child.pid ?? 0;
  }

  /** Sends a signal, such as `SIGKILL` or `SIGSTOP`. */
  public signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Waits until the process exits; the exit code is `null` if a signal ended it. */
  public async waitForExit(): Promise<number | null> {
    return await this.exitCode;
  }

  /**
   * Kills the process immediately, even if it is suspended by `SIGSTOP`, and waits until it exits.
   */
  public async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exitCode;
  }
}

/** Options of {@link launch}. */
export interface LaunchOptions {
  readonly name: string;
  /** Path of the script relative to the `packages` folder, such as `instance/dist/bin.js`. */
  readonly script: string;
  readonly commandLine: readonly string[];
  /** Called with every line that the process writes to its standard output. */
  readonly onLine?: (line: string) => void;
}

const packagesDirectory = new URL('../../../', import.meta.url);

/** Starts a script of the repository as a child process. */
export function launch(options: LaunchOptions): LaunchedProcess {
  const script = new URL(options.script, packagesDirectory).pathname;
  const child = spawn(process.execPath, [script, ...options.commandLine], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  createInterface({ input: child.stdout }).on('line', line => options.onLine?.(line));
  return new LaunchedProcess(options.name, child);
}
