import type { FleetInstance } from './fleet.js';

const POLL_INTERVAL_MILLISECONDS = 100;
const RESPONSE_TIMEOUT_MILLISECONDS = 1_000;

/**
 * A simple model of the platform's load balancer: polls the readiness of every instance and selects
 * the ready ones in round-robin order.
 */
export class LoadBalancer {
  private readyAddresses: readonly string[] = [];
  private nextIndex = 0;
  private timer: NodeJS.Timeout | undefined;

  public constructor(private readonly instances: readonly FleetInstance[]) {}

  /** Starts polling; resolves after the first poll. */
  public async start(): Promise<void> {
    await this.poll();
    this.schedulePoll();
  }

  /** Stops polling. */
  public stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  /** Returns the callers' address of the next ready instance. */
  public pick(): string {
    const address = this.readyAddresses[this.nextIndex++ % Math.max(1, this.readyAddresses.length)];
    if (address === undefined) {
      throw new Error('no instance is ready');
    }
    return address;
  }

  private schedulePoll(): void {
    this.timer = setTimeout(() => {
      void this.poll().then(() => {
        if (this.timer !== undefined) {
          this.schedulePoll();
        }
      });
    }, POLL_INTERVAL_MILLISECONDS);
  }

  private async poll(): Promise<void> {
    const checks = this.instances.map(async ({ callerAddress, operatorAddress }) =>
      (await isReady(operatorAddress)) ? [callerAddress] : [],
    );
    this.readyAddresses = (await Promise.all(checks)).flat();
  }
}

async function isReady(operatorAddress: string): Promise<boolean> {
  try {
    const response = await fetch(`http://${operatorAddress}/ready`, {
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MILLISECONDS),
    });
    return response.ok;
  } catch {
    return false;
  }
}
