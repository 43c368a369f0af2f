import type { PromptPart, PromptPartId } from '../../../src/callers/requestFacts.js';

/** Speed and size of an engine. */
export interface EngineSheet {
  readonly slots: number;
  /** Requests that may wait beside those that run. */
  readonly queue: number;
  readonly cacheTokens: number;
  readonly prefillTokensPerMillisecond: number;
  readonly stepMilliseconds: number;
  readonly stepMillisecondsPerRequest: number;
}

/** A turn at an engine. */
export interface EngineTurn {
  readonly parts: readonly PromptPart[];
  readonly outputTokens: number;
  readonly urgency: number;
  /** Time at which the caller leaves, in milliseconds. */
  readonly deadline: number;
  /** Called with the first token and with each further event of {@link TOKENS_PER_EVENT}. */
  readonly onEvent?: () => void;
  /** Called at the end with whether the turn is complete. */
  readonly onEnd: (isComplete: boolean, now: number) => void;
}

interface RunningTurn {
  readonly turn: EngineTurn;
  /** Prompt tokens that have yet to be computed. */
  prefillTokens: number;
  remainingTokens: number;
}

/** Tokens of a prompt that are computed between two steps. */
const CHUNK_TOKENS = 1_024;
/** Tokens of an event. */
const TOKENS_PER_EVENT = 32;
/** Steps without a prefill that are computed at a time; arrivals wait for their end. */
const STEPS_AT_A_TIME = 8;

/** An engine that batches turns and caches the parts of their prompts, on the time that its caller advances. */
export class ModelEngine {
  /** Prompt tokens computed, and those of them that some engine had computed before. */
  public computedTokens = 0;
  public busyMilliseconds = 0;
  /** Cached parts with their tokens, from least to most recently used. */
  private readonly cache = new Map<PromptPartId, number>();
  private cachedTokens = 0;
  private waiting: EngineTurn[] = [];
  private running: RunningTurn[] = [];

  public constructor(private readonly sheet: EngineSheet) {}

  public get isIdle(): boolean {
    return this.running.length === 0 && this.waiting.length === 0;
  }

  /** Turns that run or wait. */
  public get load(): number {
    return this.running.length + this.waiting.length;
  }

  /** Takes in a turn; returns false if the engine is full. */
  public offer(turn: EngineTurn): boolean {
    if (this.load >= this.sheet.slots + this.sheet.queue) {
      return false;
    }
    const later = this.waiting.findIndex(({ urgency }) => urgency > turn.urgency);
    this.waiting.splice(later === -1 ? this.waiting.length : later, 0, turn);
    return true;
  }

  /** Computes one iteration and returns its duration, in milliseconds; 0 if there is nothing to do. */
  public advance(now: number, speed = 1): number {
    this.dropExpired(now);
    this.admit();
    if (this.running.length === 0) {
      return 0;
    }
    const { prefillTokensPerMillisecond, stepMilliseconds, stepMillisecondsPerRequest } =
      this.sheet;
    const next = this.running.find(({ prefillTokens }) => prefillTokens > 0);
    const chunk = Math.min(CHUNK_TOKENS, next?.prefillTokens ?? 0);
    const steps = next === undefined ? STEPS_AT_A_TIME : 1;
    const duration =
      (chunk / prefillTokensPerMillisecond +
        steps * (stepMilliseconds + this.running.length * stepMillisecondsPerRequest)) /
      speed;
    for (const each of this.running) {
      if (each.prefillTokens === 0) {
        const eventsLeft = Math.ceil(each.remainingTokens / TOKENS_PER_EVENT);
        const isFirst = each.remainingTokens === each.turn.outputTokens;
        each.remainingTokens -= steps;
        if (isFirst || Math.ceil(each.remainingTokens / TOKENS_PER_EVENT) < eventsLeft) {
          each.turn.onEvent?.();
        }
      }
    }
    if (next !== undefined) {
      next.prefillTokens -= chunk;
      this.computedTokens += chunk;
    }
    this.busyMilliseconds += duration;
    this.endComplete(now + duration);
    return duration;
  }

  private admit(): void {
    while (this.running.length < this.sheet.slots && this.waiting.length > 0) {
      const turn = this.waiting.shift();
      if (turn === undefined) {
        return;
      }
      const cached = this.countCachedTokens(turn.parts);
      const prompt = turn.parts.reduce((sum, { tokens }) => sum + tokens, 0);
      turn.parts.forEach(part => {
        this.keep(part);
      });
      this.running.push({
        prefillTokens: prompt - cached,
        remainingTokens: turn.outputTokens,
        turn,
      });
    }
  }

  private endComplete(now: number): void {
    const ended = this.running.filter(({ remainingTokens }) => remainingTokens <= 0);
    this.running = this.running.filter(({ remainingTokens }) => remainingTokens > 0);
    ended.forEach(({ turn }) => {
      turn.onEnd(true, now);
    });
  }

  private dropExpired(now: number): void {
    const expired = [
      ...this.waiting.filter(({ deadline }) => deadline <= now),
      ...this.running.map(({ turn }) => turn).filter(({ deadline }) => deadline <= now),
    ];
    if (expired.length === 0) {
      return;
    }
    this.waiting = this.waiting.filter(({ deadline }) => deadline > now);
    this.running = this.running.filter(({ turn }) => turn.deadline > now);
    expired.forEach(turn => {
      turn.onEnd(false, now);
    });
  }

  private countCachedTokens(parts: readonly PromptPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      if (!this.cache.has(id)) {
        return cached;
      }
      cached += tokens;
    }
    return cached;
  }

  private keep({ id, tokens }: PromptPart): void {
    this.cachedTokens += tokens - (this.cache.get(id) ?? 0);
    this.cache.delete(id);
    this.cache.set(id, tokens);
    for (const [oldest, oldestTokens] of this.cache) {
      if (this.cachedTokens <= this.sheet.cacheTokens) {
        return;
      }
      this.cache.delete(oldest);
      this.cachedTokens -= oldestTokens;
    }
  }
}
