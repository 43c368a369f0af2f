import type { ChildProcess } from 'node:child_process';

import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

/** A process that the launcher started. */
export class LaunchedProcess {
  private readonly ended: Promise<number | null>;

  public constructor(
    public readonly name: string,
    private readonly child: ChildProcess,
  ) {
    this.ended = new Promise(resolve => child.once('exit', resolve));
  }

  /** Identifier of the process at the operating system. */
  public get processId(): number {
    return this.child.pid ?? 0;
  }

  /** Sends a signal, such as `SIGKILL` or `SIGSTOP`. */
  public signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Waits for the end; the exit code is `null` after a signal. */
  public async waitForExit(): Promise<number | null> {
    return await this.ended;
  }

  /** Ends the process at once, also when it is stopped. */
  public async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended;
  }
}

/** What to start. */
export interface LaunchOptions {
  readonly name: string;
  /** Path of the script below the workspace's packages, such as `instance/dist/bin.js`. */
  readonly script: string;
  readonly commandLine: readonly string[];
  /** Called with every line of the process's standard output. */
  readonly onLine?: (line: string) => void;
}

const packagesDirectory = new URL('../../../', import.meta.url);

/** Starts a script of the workspace as a process of its own. */
export function launch(options: LaunchOptions): LaunchedProcess {
  const script = new URL(options.script, packagesDirectory).pathname;
  const child = spawn(process.execPath, [script, ...options.commandLine], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  createInterface({ input: child.stdout }).on('line', line => options.onLine?.(line));
  return new LaunchedProcess(options.name, child);
}
