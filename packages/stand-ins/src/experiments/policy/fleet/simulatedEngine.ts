import type { PrefixDigest } from '@zincring/scheduling';

import type { EventQueue } from './eventQueue.js';
import type { SimulatedCall, SimulatedReplica, UpstreamCallbacks } from './modelCall.js';

import { PrefixMemory } from './prefixMemory.js';

/** Speed and size of a simulated engine. */
export interface EngineSpeed {
  /** Calls that are decoded together. */
  readonly slots: number;
  /** Prompt tokens that one step computes at most. */
  readonly prefillTokensPerStep: number;
  readonly stepMilliseconds: number;
  /** Added to a step for each call that is decoded in it. */
  readonly millisecondsPerSequence: number;
  /** Added to a step for each prompt token that is computed in it. */
  readonly millisecondsPerPrefillToken: number;
  readonly cacheTokens: number;
}

/** What an experiment wants to hear of engines. */
export interface EngineObserver {
  /** Time that a step took, for each call that got a token in it. */
  readonly onTokens: (count: number, stepMilliseconds: number) => void;
  readonly onEvicted: (digest: PrefixDigest) => void;
}

interface RunningCall {
  readonly call: SimulatedCall;
  readonly priority: number;
  readonly arrival: number;
  readonly callbacks: UpstreamCallbacks;
  computedTokens: number;
  prefillLeft: number;
  outputLeft: number;
}

/** An engine that batches continuously, computes prompts in chunks and caches prefixes. */
export class SimulatedEngine implements SimulatedReplica {
  private readonly memory: PrefixMemory;
  private waiting: RunningCall[] = [];
  private running: RunningCall[] = [];
  private arrivals = 0;
  private isStepping = false;
  private isDead = false;

  public constructor(
    private readonly events: EventQueue,
    private readonly speed: EngineSpeed,
    private readonly observer: EngineObserver,
  ) {
    this.memory = new PrefixMemory(speed.cacheTokens, observer.onEvicted);
  }

  public get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.running.length, waiting: this.waiting.length };
  }

  public submit(call: SimulatedCall, priority: number, callbacks: UpstreamCallbacks): void {
    if (this.isDead) {
      callbacks.onFailed(0);
      return;
    }
    this.waiting.push({
      arrival: this.arrivals++,
      call,
      callbacks,
      computedTokens: 0,
      outputLeft: call.outputTokens,
      prefillLeft: 0,
      priority,
    });
    if (!this.isStepping) {
      this.step();
    }
  }

  public kill(): void {
    this.isDead = true;
    const lost = [...this.running, ...this.waiting];
    this.running = [];
    this.waiting = [];
    for (const { callbacks, computedTokens, prefillLeft } of lost) {
      callbacks.onFailed(computedTokens - prefillLeft);
    }
  }

  public release(program: string): void {
    this.memory.release(program);
  }

  private step(): void {
    this.fillBatch();
    this.isStepping = this.running.length > 0;
    if (!this.isStepping) {
      return;
    }
    const { speed } = this;
    let prefillBudget = speed.prefillTokensPerStep;
    const decoding: RunningCall[] = [];
    for (const entry of this.running) {
      if (entry.prefillLeft === 0) {
        decoding.push(entry);
        continue;
      }
      const computed = Math.min(prefillBudget, entry.prefillLeft);
      entry.prefillLeft -= computed;
      prefillBudget -= computed;
    }
    const duration =
      speed.stepMilliseconds +
      decoding.length * speed.millisecondsPerSequence +
      (speed.prefillTokensPerStep - prefillBudget) * speed.millisecondsPerPrefillToken;
    this.events.after(duration, () => {
      this.finishStep(decoding, duration);
    });
  }

  private finishStep(decoding: readonly RunningCall[], duration: number): void {
    if (this.isDead) {
      return;
    }
    this.observer.onTokens(decoding.length, duration);
    const finished = decoding.filter(entry => {
      if (entry.outputLeft === entry.call.outputTokens) {
        entry.callbacks.onFirstToken();
      }
      return --entry.outputLeft <= 0;
    });
    if (finished.length > 0) {
      this.running = this.running.filter(entry => entry.outputLeft > 0);
    }
    for (const { call, callbacks, computedTokens } of finished) {
      const chain = call.answered === undefined ? [] : [call.answered];
      this.memory.store(call.program ?? '', [...call.prefixes, ...chain]);
      callbacks.onDone(computedTokens);
    }
    this.step();
  }

  private fillBatch(): void {
    if (this.waiting.length === 0 || this.running.length >= this.speed.slots) {
      return;
    }
    this.waiting.sort(
      (left, right) => left.priority - right.priority || left.arrival - right.arrival,
    );
    const admitted = this.waiting.splice(0, this.speed.slots - this.running.length);
    for (const entry of admitted) {
      const { call } = entry;
      entry.computedTokens = Math.max(1, call.promptTokens - this.memory.match(call.prefixes));
      entry.prefillLeft = entry.computedTokens;
      this.running.push(entry);
    }
    this.running.sort(
      (left, right) => left.priority - right.priority || left.arrival - right.arrival,
    );
  }
}
