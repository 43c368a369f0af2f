import { sha256Hex } from '@zincring/core';

import { countTokens, PrefixCache } from './prefixCache.js';

/** Capacity and speed of an {@link EngineModel}. */
export interface EngineOptions {
  /** Maximum number of requests in the batch. */
  readonly slots: number;
  /** Maximum number of prompt tokens that one step computes, over all requests in the batch. */
  readonly prefillTokensPerStep: number;
  /** Capacity of the prefix cache, in tokens. */
  readonly cacheTokens: number;
}

/** Request to generate text. */
export interface GenerateRequest {
  readonly requestId: string;
  readonly program: string;
  /** The prompt: the turns of the history, oldest first, followed by the new input. */
  readonly segments: readonly string[];
  readonly maxTokens: number;
  /** Priority in the queue; lower numbers run first. */
  readonly priority: number;
}

/** Token counts of a request. */
export interface GenerateUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** A request inside the engine, with the tokens generated for it. */
export class Generation {
  public readonly tokens: string[] = [];
  public readonly promptTokens: number;
  public cachedTokens = 0;
  public remainingPrefillTokens = 0;
  public state: 'cancelled' | 'done' | 'running' | 'waiting' = 'waiting';
  /** Called after every step that generates a token of the request, and when it is cancelled. */
  public onProgress: () => void = () => undefined;
  private readonly seed: string;

  public constructor(
    public readonly request: GenerateRequest,
    public readonly arrivalNumber: number,
  ) {
    this.promptTokens = request.segments.reduce((sum, text) => sum + countTokens(text), 0);
    this.seed = sha256Hex(request.segments.join('\n')).slice(0, 8);
  }

  /** Token counts of the request so far. */
  public get usage(): GenerateUsage {
    return {
      cachedTokens: this.cachedTokens,
      outputTokens: this.tokens.length,
      promptTokens: this.promptTokens,
    };
  }

  /** Generates the next token; its text depends only on the prompt and its index. */
  public decode(): void {
    this.tokens.push(`${this.seed}-${this.tokens.length} `);
  }
}

/**
 * A model engine without network or clock. For each request in the batch, a step either computes
 * part of its prompt or generates one token.
 *
 * @example
 * const engine = new EngineModel({ slots: 4, prefillTokensPerStep: 512, cacheTokens: 100_000 });
 * engine.submit(request);
 * engine.step();
 */
export class EngineModel {
  public readonly cache: PrefixCache;
  private readonly waiting: Generation[] = [];
  private readonly running = new Set<Generation>();
  private readonly generations = new Map<string, Generation>();
  private nextArrivalNumber = 0;

  public constructor(private readonly options: EngineOptions) {
    this.cache = new PrefixCache(options.cacheTokens);
  }

  /** Number of requests in the batch and in the queue before it. */
  public get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.running.size, waiting: this.waiting.length };
  }

  /**
   * Enqueues a request; returns the existing one if its identifier is known, so a stream can
   * resume.
   */
  public submit(request: GenerateRequest): Generation {
    const existing = this.generations.get(request.requestId);
    if (existing !== undefined) {
      return existing;
    }
    const generation = new Generation(request, this.nextArrivalNumber++);
    this.generations.set(request.requestId, generation);
    this.waiting.push(generation);
    return generation;
  }

  /** Returns a submitted request, or `undefined` if its identifier is unknown. */
  public find(requestId: string): Generation | undefined {
    return this.generations.get(requestId);
  }

  /** Cancels a request and frees its slot. */
  public cancel(requestId: string): void {
    const generation = this.generations.get(requestId);
    if (generation === undefined || generation.state === 'done') {
      return;
    }
    generation.state = 'cancelled';
    this.running.delete(generation);
    const position = this.waiting.indexOf(generation);
    if (position >= 0) {
      this.waiting.splice(position, 1);
    }
    generation.onProgress();
  }

  /** Drops the cached prefixes of a program and its requests that are not running. */
  public release(program: string): void {
    this.cache.release(program);
    for (const [requestId, generation] of this.generations) {
      if (generation.request.program === program && generation.state !== 'running') {
        this.generations.delete(requestId);
      }
    }
  }

  /** Computes one step of the batch. */
  public step(): void {
    this.fillBatch();
    let prefillBudget = this.options.prefillTokensPerStep;
    for (const generation of this.running) {
      if (generation.remainingPrefillTokens > 0) {
        const computed = Math.min(prefillBudget, generation.remainingPrefillTokens);
        generation.remainingPrefillTokens -= computed;
        prefillBudget -= computed;
        continue;
      }
      generation.decode();
      this.finishIfComplete(generation);
      generation.onProgress();
    }
  }

  private fillBatch(): void {
    this.waiting.sort(
      (left, right) =>
        left.request.priority - right.request.priority || left.arrivalNumber - right.arrivalNumber,
    );
    while (this.running.size < this.options.slots) {
      const next = this.waiting.shift();
      if (next === undefined) {
        return;
      }
      next.state = 'running';
      next.cachedTokens = this.cache.match(next.request.segments);
      next.remainingPrefillTokens = next.promptTokens - next.cachedTokens;
      this.running.add(next);
    }
  }

  private finishIfComplete(generation: Generation): void {
    if (generation.tokens.length < generation.request.maxTokens) {
      return;
    }
    generation.state = 'done';
    this.running.delete(generation);
    const { program, segments } = generation.request;
    this.cache.store(program, [...segments, generation.tokens.join('')]);
  }
}
