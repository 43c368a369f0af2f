import type { EventQueue } from './eventQueue.js';
import type { SimulatedCall, SimulatedReplica, UpstreamCallbacks } from './modelCall.js';

/** A replica of a plain service: first come, first served, over a few workers. */
export class SimulatedService implements SimulatedReplica {
  private readonly waiting: (() => void)[] = [];
  private running = 0;
  private isDead = false;

  public constructor(
    private readonly events: EventQueue,
    private readonly workers: number,
  ) {}

  public get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.running, waiting: this.waiting.length };
  }

  public submit(call: SimulatedCall, _priority: number, callbacks: UpstreamCallbacks): void {
    if (this.isDead) {
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

  public kill(): void {
    this.isDead = true;
  }

  public release(): void {
    // A plain service keeps nothing for programs.
  }

  private startNext(): void {
    if (this.running < this.workers) {
      this.waiting.shift()?.();
    }
  }
}
