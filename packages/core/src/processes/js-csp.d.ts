/** Types for the part of js-csp that these packages use; the library has none of its own. */
declare module 'js-csp' {
  export const CLOSED: null;
  /** Channel between processes. */
  export interface Channel<Value> {
    close(): void;
    isClosed(): boolean;
    readonly __value?: Value;
  }
  /** Buffer of a channel. */
  export interface Buffer {
    readonly __buffer?: true;
  }
  /** Instruction that a process yields to the js-csp scheduler. */
  export interface Instruction {
    readonly __instruction?: true;
  }
  export const buffers: {
    fixed(size: number): Buffer;
    dropping(size: number): Buffer;
    sliding(size: number): Buffer;
  };
  export function chan<Value>(buffer?: Buffer | number): Channel<Value>;
  export function take(channel: Channel<unknown>): Instruction;
  export function put<Value>(channel: Channel<Value>, value: Value): Instruction;
  export function alts(
    operations: readonly (Channel<unknown> | readonly [Channel<unknown>, unknown])[],
    options?: { readonly priority?: boolean },
  ): Instruction;
  export function putAsync<Value>(
    channel: Channel<Value>,
    value: Value,
    callback?: (accepted: boolean) => void,
  ): void;
  export function takeAsync<Value>(
    channel: Channel<Value>,
    callback: (value: Value | null) => void,
  ): void;
  export function offer<Value>(channel: Channel<Value>, value: Value): boolean;
  export function go(generator: () => Generator<Instruction, unknown, never>): Channel<unknown>;
}
