import type { LearnedCostOptions } from './costOptions.js';

import { RobustMean } from './robustMean.js';

/** What requests to a service take at present. */
export interface CostEstimate {
  readonly prefillMillisecondsPerToken: number;
  readonly turnMilliseconds: number;
  readonly callMilliseconds: number;
  /** What each further request in flight adds to a turn, in milliseconds. */
  readonly batchMilliseconds: number;
}

/** Tokens of a prompt that an engine is expected to compute. */
export interface PromptExpectation {
  readonly promptTokens: number;
  readonly uncachedTokens: number;
}

/** Share of uncached tokens from which a prompt counts as one that no cache holds. */
const UNCACHED_SHARE = 0.5;
/** Least difference between prompts in and out of caches from which a price per token follows, in tokens. */
const MINIMUM_TOKEN_DIFFERENCE = 1_000;
/** Ratio to the price before any was seen beyond which a learned price per token is not believed. */
const MAXIMUM_PRICE_RATIO = 8;
/** Weight of a sample in the mean of tokens. */
const TOKENS_WEIGHT = 0.1;
/** Maximum number of kinds of calls of a service that are told apart. */
const MAXIMUM_CALL_KINDS = 256;

interface FirstEvents {
  readonly milliseconds: RobustMean;
  tokens: number;
}

/**
 * What the turns and calls of one service take, learned from the exchanges of one instance with all of
 * its replicas. The price of a prompt token is what callers feel: the difference of the time to the
 * first event between prompts that the engine holds and those that it does not, over their tokens.
 *
 * @example
 * const costs = new ServiceCosts(defaultLearnedCostOptions);
 * costs.recordFirstEvent(92, { promptTokens: 14_280, uncachedTokens: 14_280 }, now);
 * costs.estimate(now).prefillMillisecondsPerToken;
 */
export class ServiceCosts {
  private readonly cached: FirstEvents;
  private readonly uncached: FirstEvents;
  private readonly eventGap: RobustMean;
  private readonly turn: RobustMean;
  private readonly call: RobustMean;
  private readonly callsByKind = new Map<string, RobustMean>();

  public constructor(private readonly options: LearnedCostOptions) {
    const { callMilliseconds, service, turnMilliseconds } = options;
    const firstEvents = (): FirstEvents => ({
      milliseconds: new RobustMean(turnMilliseconds / 4, service),
      tokens: 0,
    });
    this.cached = firstEvents();
    this.uncached = firstEvents();
    this.eventGap = new RobustMean(turnMilliseconds / 10, service);
    this.turn = new RobustMean(turnMilliseconds, service);
    this.call = new RobustMean(callMilliseconds, service);
  }

  /** Takes in the time to the first event of a stream; returns its ratio to the usual one, if that is known. */
  public recordFirstEvent(
    milliseconds: number,
    prompt: PromptExpectation,
    now: number,
  ): number | undefined {
    const events = this.selectFirstEvents(prompt);
    events.tokens +=
      (events.tokens === 0 ? 1 : TOKENS_WEIGHT) * (prompt.uncachedTokens - events.tokens);
    return this.recordRatio(events.milliseconds, milliseconds, now);
  }

  /** Takes in the mean time between the events of a stream; returns its ratio to the usual one, if that is known. */
  public recordEventGap(milliseconds: number, now: number): number | undefined {
    return this.recordRatio(this.eventGap, milliseconds, now);
  }

  /** Takes in the time of a complete turn. */
  public recordTurn(milliseconds: number, now: number): void {
    this.turn.record(milliseconds, now);
  }

  /** Takes in the time of a call; returns its ratio to that of its kind, if that is known. */
  public recordCall(kind: string, milliseconds: number, now: number): number | undefined {
    this.call.record(milliseconds, now);
    return this.recordRatio(this.findOrAddKind(kind), milliseconds, now);
  }

  /** Usual time to the first event of a stream, in milliseconds; `undefined` while too little was seen. */
  public expectFirstEvent(prompt: PromptExpectation, now: number): number | undefined {
    return this.selectFirstEvents(prompt).milliseconds.mean(now, this.options.minimumSamples);
  }

  /** Usual time of a call of a kind, in milliseconds; `undefined` while too little was seen. */
  public expectCall(kind: string, now: number): number | undefined {
    return this.callsByKind.get(kind)?.mean(now, this.options.minimumSamples);
  }

  /** What turns and calls take, drawn to the defaults as far as little was seen of late. */
  public estimate(now: number): CostEstimate {
    const turnMilliseconds = this.turn.estimate(now);
    return {
      batchMilliseconds: turnMilliseconds * this.options.batchShare,
      callMilliseconds: this.call.estimate(now),
      prefillMillisecondsPerToken: this.estimatePrefill(now),
      turnMilliseconds,
    };
  }

  private estimatePrefill(now: number): number {
    const { minimumSamples, prefillMillisecondsPerToken: fallback, service } = this.options;
    const cached = this.cached.milliseconds.mean(now, minimumSamples);
    const uncached = this.uncached.milliseconds.mean(now, minimumSamples);
    const tokens = this.uncached.tokens - this.cached.tokens;
    if (cached === undefined || uncached === undefined || tokens < MINIMUM_TOKEN_DIFFERENCE) {
      return fallback;
    }
    const learned = Math.min(
      fallback * MAXIMUM_PRICE_RATIO,
      Math.max(fallback / MAXIMUM_PRICE_RATIO, (uncached - cached) / tokens),
    );
    const weight = Math.min(
      this.cached.milliseconds.weightAt(now),
      this.uncached.milliseconds.weightAt(now),
    );
    return fallback * (learned / fallback) ** (weight / (weight + service.fallbackSamples));
  }

  private selectFirstEvents({ promptTokens, uncachedTokens }: PromptExpectation): FirstEvents {
    return uncachedTokens >= promptTokens * UNCACHED_SHARE ? this.uncached : this.cached;
  }

  private recordRatio(mean: RobustMean, milliseconds: number, now: number): number | undefined {
    const usual = mean.mean(now, this.options.minimumSamples);
    mean.record(milliseconds, now);
    return usual === undefined ? undefined : milliseconds / usual;
  }

  private findOrAddKind(kind: string): RobustMean {
    const known = this.callsByKind.get(kind);
    if (known !== undefined) {
      return known;
    }
    if (this.callsByKind.size >= MAXIMUM_CALL_KINDS) {
      return this.call;
    }
    const added = new RobustMean(this.options.callMilliseconds, this.options.service);
    this.callsByKind.set(kind, added);
    return added;
  }
}
