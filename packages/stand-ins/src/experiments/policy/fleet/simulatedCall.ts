import type { PrefixChain, PromptPrefix, ScheduledItem } from '@zincring/scheduling';

/** A call to a model or a plain service, as instances and upstream fakes see it. */
export interface SimulatedCall extends ScheduledItem {
  readonly service: 'model' | 'plain';
  readonly outputTokens: number;
  /** Prefix of prompt and answer together, which the next turn begins with. */
  readonly answered: PromptPrefix | undefined;
  /** Time that a plain service takes, in milliseconds. */
  readonly serviceMilliseconds: number;
  readonly prefixes: PrefixChain;
  readonly onDone: () => void;
}

/** What becomes of a call at its upstream. */
export interface UpstreamCallbacks {
  readonly onFirstToken: () => void;
  /** @param computedTokens prompt tokens that were not found cached */
  readonly onDone: (computedTokens: number) => void;
  readonly onFailed: (computedTokens: number) => void;
}

/** A replica under the experiment. */
export interface SimulatedReplica {
  submit(call: SimulatedCall, priority: number, callbacks: UpstreamCallbacks): void;
  /** Calls being computed and waiting. */
  readonly load: { readonly running: number; readonly waiting: number };
  /** Fails all calls, now and later. */
  kill(): void;
  /** Drops what is held for a program. */
  release(program: string): void;
}
