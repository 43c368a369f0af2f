import type { FleetInstance } from './fleet.js';

const LOOK_MILLISECONDS = 100;
const ANSWER_LIMIT_MILLISECONDS = 1_000;

/**
 * What the platform's balancer does, in little: it asks every instance whether it is ready, and
 * names the ready ones in turn.
 */
export class ReadyBalancer {
  private ready: readonly string[] = [];
  private next = 0;
  private timer: NodeJS.Timeout | undefined;

  public constructor(private readonly instances: readonly FleetInstance[]) {}

  /** Begins to look at the instances; waits for the first look. */
  public async start(): Promise<void> {
    await this.look();
    this.schedule();
  }

  /** Stops looking. */
  public stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  /** Callers' address of a ready instance. */
  public pick(): string {
    const address = this.ready[this.next++ % Math.max(1, this.ready.length)];
    if (address === undefined) {
      throw new Error('no instance is ready');
    }
    return address;
  }

  private schedule(): void {
    this.timer = setTimeout(() => {
      void this.look().then(() => {
        if (this.timer !== undefined) {
          this.schedule();
        }
      });
    }, LOOK_MILLISECONDS);
  }

  private async look(): Promise<void> {
    const looks = this.instances.map(async ({ callerAddress, operatorAddress }) =>
      (await isReady(operatorAddress)) ? [callerAddress] : [],
    );
    this.ready = (await Promise.all(looks)).flat();
  }
}

async function isReady(operatorAddress: string): Promise<boolean> {
  try {
    const response = await fetch(`http://${operatorAddress}/ready`, {
      signal: AbortSignal.timeout(ANSWER_LIMIT_MILLISECONDS),
    });
    return response.ok;
  } catch {
    return false;
  }
}
