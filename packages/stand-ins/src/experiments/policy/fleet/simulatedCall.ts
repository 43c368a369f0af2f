import type { PrefixChain, PromptPrefix, ScheduledItem } from '@zincring/scheduling';

/** A call to a model or a plain service, as instances and simulated upstreams process it. */
export interface SimulatedCall extends ScheduledItem {
  readonly service: 'model' | 'plain';
  readonly outputTokens: number;
  /** Prefix that consists of prompt and output; the prompt of the next turn starts with it. */
  readonly prefixWithOutput: PromptPrefix | undefined;
  /** Processing time of the call at a plain service, in milliseconds. */
  readonly serviceMilliseconds: number;
  readonly prefixes: PrefixChain;
  readonly onDone: () => void;
}

/** Callbacks by which an upstream reports the progress of a call. */
export interface UpstreamCallbacks {
  readonly onFirstToken: () => void;
  /** @param computedTokens prompt tokens that were not cached */
  readonly onDone: (computedTokens: number) => void;
  readonly onFailed: (computedTokens: number) => void;
}

/** A simulated replica of a model or a plain service. */
export interface SimulatedReplica {
  submit(call: SimulatedCall, priority: number, callbacks: UpstreamCallbacks): void;
  /** Number of calls in progress and of calls waiting. */
  readonly load: { readonly running: number; readonly waiting: number };
  /** Crashes the replica: later calls to it fail; an engine also fails the calls that it has. */
  crash(): void;
  /** Removes the cached prefixes of a program. */
  release(program: string): void;
}
