import { sha256Hex } from '@zincring/core';

import { countTokens, PrefixCache } from './prefixCache.js';

/** Size and speed of an engine. */
export interface EngineOptions {
  /** Requests that are decoded together. */
  readonly slots: number;
  /** Prompt tokens that one step computes, over all requests in the batch. */
  readonly prefillTokensPerStep: number;
  /** Capacity of the prefix cache in tokens. */
  readonly cacheTokens: number;
}

/** A request to generate text. */
export interface GenerateRequest {
  readonly requestId: string;
  readonly program: string;
  /** The prompt: the turns of the history, oldest first, and the new input. */
  readonly segments: readonly string[];
  readonly maxTokens: number;
  /** Lower numbers run first. */
  readonly priority: number;
}

/** What a finished request used. */
export interface GenerateUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** A request inside the engine. */
export class Generation {
  public readonly tokens: string[] = [];
  public readonly promptTokens: number;
  public cachedTokens = 0;
  public prefillLeft = 0;
  public state: 'cancelled' | 'done' | 'running' | 'waiting' = 'waiting';
  /** Called after every step that changed the request. */
  public onProgress: () => void = () => undefined;
  private readonly seed: string;

  public constructor(
    public readonly request: GenerateRequest,
    public readonly arrival: number,
  ) {
    this.promptTokens = request.segments.reduce((sum, text) => sum + countTokens(text), 0);
    this.seed = sha256Hex(request.segments.join('\n')).slice(0, 8);
  }

  /** What the request has used so far. */
  public get usage(): GenerateUsage {
    return {
      cachedTokens: this.cachedTokens,
      outputTokens: this.tokens.length,
      promptTokens: this.promptTokens,
    };
  }

  /** Generates the next token; the text depends on the prompt alone. */
  public decode(): void {
    this.tokens.push(`${this.seed}-${this.tokens.length} `);
  }
}

/**
 * A model engine without network or clock: each step computes part of the prompts and one token
 * of every request in the batch.
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
  private arrivals = 0;

  public constructor(private readonly options: EngineOptions) {
    this.cache = new PrefixCache(options.cacheTokens);
  }

  /** Requests in the batch and before it. */
  public get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.running.size, waiting: this.waiting.length };
  }

  /** Takes a request; one that is known already is returned as it stands, so a stream can resume. */
  public submit(request: GenerateRequest): Generation {
    const known = this.generations.get(request.requestId);
    if (known !== undefined) {
      return known;
    }
    const generation = new Generation(request, this.arrivals++);
    this.generations.set(request.requestId, generation);
    this.waiting.push(generation);
    return generation;
  }

  /** Finds a request that was submitted before. */
  public find(requestId: string): Generation | undefined {
    return this.generations.get(requestId);
  }

  /** Stops a request and frees its slot. */
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

  /** Drops what the engine holds for a program. */
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
      if (generation.prefillLeft > 0) {
        const computed = Math.min(prefillBudget, generation.prefillLeft);
        generation.prefillLeft -= computed;
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
        left.request.priority - right.request.priority || left.arrival - right.arrival,
    );
    while (this.running.size < this.options.slots) {
      const next = this.waiting.shift();
      if (next === undefined) {
        return;
      }
      next.state = 'running';
      next.cachedTokens = this.cache.match(next.request.segments);
      next.prefillLeft = next.promptTokens - next.cachedTokens;
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
