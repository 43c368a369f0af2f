import type { PrefixDigest } from '@zincring/scheduling';

import type { EventQueue } from './eventQueue.js';
import type { SimulatedCall, SimulatedReplica, UpstreamCallbacks } from './simulatedCall.js';

import { SimulatedPrefixCache } from './simulatedPrefixCache.js';

/** Size and speed of a simulated engine. */
export interface SimulatedEngineOptions {
  /** Maximum number of calls in a batch. */
  readonly slots: number;
  /** Maximum number of prompt tokens that one step computes. */
  readonly prefillTokensPerStep: number;
  readonly stepMilliseconds: number;
  /** Time added to a step for each call that is decoded in it. */
  readonly millisecondsPerSequence: number;
  /** Time added to a step for each prompt token that is computed in it. */
  readonly millisecondsPerPrefillToken: number;
  readonly cacheTokens: number;
}

/** Callbacks by which an engine reports generated tokens and evicted prefixes. */
export interface EngineObserver {
  /** Called after each step with the number of calls that got a token and the time of the step. */
  readonly onTokens: (count: number, stepMilliseconds: number) => void;
  readonly onEvicted: (digest: PrefixDigest) => void;
}

interface EngineCall {
  readonly call: SimulatedCall;
  readonly priority: number;
  readonly arrivalOrder: number;
  readonly callbacks: UpstreamCallbacks;
  computedTokens: number;
  remainingPrefillTokens: number;
  remainingOutputTokens: number;
}

/** Simulates an engine with continuous batching, chunked prefill and a prefix cache. */
export class SimulatedEngine implements SimulatedReplica {
  private readonly prefixCache: SimulatedPrefixCache;
  private waiting: EngineCall[] = [];
  private running: EngineCall[] = [];
  private arrivalCount = 0;
  private isStepping = false;
  private isCrashed = false;

  public constructor(
    private readonly events: EventQueue,
    private readonly options: SimulatedEngineOptions,
    private readonly observer: EngineObserver,
  ) {
    this.prefixCache = new SimulatedPrefixCache(options.cacheTokens, observer.onEvicted);
  }

  public get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.running.length, waiting: this.waiting.length };
  }

  public submit(call: SimulatedCall, priority: number, callbacks: UpstreamCallbacks): void {
    if (this.isCrashed) {
      callbacks.onFailed(0);
      return;
    }
    this.waiting.push({
      arrivalOrder: this.arrivalCount++,
      call,
      callbacks,
      computedTokens: 0,
      remainingOutputTokens: call.outputTokens,
      remainingPrefillTokens: 0,
      priority,
    });
    if (!this.isStepping) {
      this.step();
    }
  }

  public crash(): void {
    this.isCrashed = true;
    const failedCalls = [...this.running, ...this.waiting];
    this.running = [];
    this.waiting = [];
    for (const { callbacks, computedTokens, remainingPrefillTokens } of failedCalls) {
      callbacks.onFailed(computedTokens - remainingPrefillTokens);
    }
  }

  public release(program: string): void {
    this.prefixCache.release(program);
  }

  private step(): void {
    this.admitWaitingCalls();
    this.isStepping = this.running.length > 0;
    if (!this.isStepping) {
      return;
    }
    const { options } = this;
    let remainingPrefillBudget = options.prefillTokensPerStep;
    const decoding: EngineCall[] = [];
    for (const entry of this.running) {
      if (entry.remainingPrefillTokens === 0) {
        decoding.push(entry);
        continue;
      }
      const computed = Math.min(remainingPrefillBudget, entry.remainingPrefillTokens);
      entry.remainingPrefillTokens -= computed;
      remainingPrefillBudget -= computed;
    }
    const durationMilliseconds =
      options.stepMilliseconds +
      decoding.length * options.millisecondsPerSequence +
      (options.prefillTokensPerStep - remainingPrefillBudget) * options.millisecondsPerPrefillToken;
    this.events.after(durationMilliseconds, () => {
      this.finishStep(decoding, durationMilliseconds);
    });
  }

  private finishStep(decoding: readonly EngineCall[], durationMilliseconds: number): void {
    if (this.isCrashed) {
      return;
    }
    this.observer.onTokens(decoding.length, durationMilliseconds);
    const finished = decoding.filter(entry => {
      if (entry.remainingOutputTokens === entry.call.outputTokens) {
        entry.callbacks.onFirstToken();
      }
      return --entry.remainingOutputTokens <= 0;
    });
    if (finished.length > 0) {
      this.running = this.running.filter(entry => entry.remainingOutputTokens > 0);
    }
    for (const { call, callbacks, computedTokens } of finished) {
      const outputPrefixes = call.prefixWithOutput === undefined ? [] : [call.prefixWithOutput];
      this.prefixCache.store(call.program ?? '', [...call.prefixes, ...outputPrefixes]);
      callbacks.onDone(computedTokens);
    }
    this.step();
  }

  private admitWaitingCalls(): void {
    if (this.waiting.length === 0 || this.running.length >= this.options.slots) {
      return;
    }
    this.waiting.sort(
      (left, right) => left.priority - right.priority || left.arrivalOrder - right.arrivalOrder,
    );
    const admitted = this.waiting.splice(0, this.options.slots - this.running.length);
    for (const entry of admitted) {
      const { call } = entry;
      entry.computedTokens = Math.max(1, call.promptTokens - this.prefixCache.match(call.prefixes));
      entry.remainingPrefillTokens = entry.computedTokens;
      this.running.push(entry);
    }
    this.running.sort(
      (left, right) => left.priority - right.priority || left.arrivalOrder - right.arrivalOrder,
    );
  }
}
