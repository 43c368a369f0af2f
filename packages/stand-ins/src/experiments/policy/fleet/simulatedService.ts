import type { EventQueue } from './eventQueue.js';
import type { SimulatedCall, SimulatedReplica, UpstreamCallbacks } from './simulatedCall.js';

/** Simulates a replica of a plain service: a few workers serve calls first come, first served. */
export class SimulatedService implements SimulatedReplica {
  private readonly waiting: (() => void)[] = [];
  private running = 0;
  private isCrashed = false;

  public constructor(
    private readonly events: EventQueue,
    private readonly workers: number,
  ) {}

  public get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.running, waiting: this.waiting.length };
  }

  public submit(call: SimulatedCall, _priority: number, callbacks: UpstreamCallbacks): void {
    if (this.isCrashed) {
      callbacks.onFailed(0);
      return;
    }
    this.waiting.push(() => {
      this.running++;
      this.events.after(call.serviceMilliseconds, () => {
        this.running--;
        callbacks.onFirstToken();
        callbacks.onDone(0);
        this.startNext();
      });
    });
    this.startNext();
  }

  public crash(): void {
    this.isCrashed = true;
  }

  public release(): void {
    // A plain service stores nothing for programs.
  }

  private startNext(): void {
    if (this.running < this.workers) {
      this.waiting.shift()?.();
    }
  }
}
