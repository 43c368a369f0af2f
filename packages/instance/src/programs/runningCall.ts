import type { ZincringError } from '@zincring/core';

import type { CallClosed, CallFrame, CallRequest } from './programMessages.js';

import { ZincringError as ZincringErrorClass } from '@zincring/core';

/** Where a call is in its life. */
export type RunningCallPhase = 'over' | 'queued' | 'running';

/**
 * The answer of a call while it is made: it can be followed by any number of readers, each from
 * an offset of its own.
 */
export class RunningCall {
  private phase: RunningCallPhase = 'queued';
  private readonly abortion = new AbortController();
  private readonly parts: Uint8Array[] = [];
  private size = 0;
  private end: Exclude<CallFrame, { kind: 'data' }> | undefined;
  private wakeReaders: () => void = () => undefined;
  private changed: Promise<void> = this.renewSignal();

  public constructor(
    public readonly request: CallRequest,
    /** Digest of the request, by which a resend is told from another request. */
    public readonly requestDigest: string,
  ) {}

  /** Aborted when the call is given up. */
  public get signal(): AbortSignal {
    return this.abortion.signal;
  }

  /** Whether the answer has ended, so that nothing may be sent for the call any more. */
  public get isOver(): boolean {
    return this.phase === 'over';
  }

  /** Moves the call from the queue to running; `false` when it was given up before. */
  public begin(): boolean {
    if (this.phase !== 'queued') {
      return false;
    }
    this.phase = 'running';
    return true;
  }

  /** Ends a call that still waits, which certainly did not run. */
  public refuseQueued(error: ZincringError): void {
    if (this.phase === 'queued') {
      this.finish({ error, kind: 'failed' });
    }
  }

  /** Gives the call up: what is sent is cancelled, and nothing more will be sent. */
  public abort(error: ZincringError): void {
    this.finish({ error, kind: 'failed' });
    this.abortion.abort(new DOMException(error.message, 'AbortError'));
  }

  /** Ends the call because the shard has, or may have, another holder. */
  public interrupt(): void {
    this.refuseQueued(new ZincringErrorClass('shard-unavailable'));
    this.abort(new ZincringErrorClass('call-interrupted'));
  }

  /** Ends the call because the key under which it came was withdrawn. */
  public withdraw(): void {
    this.refuseQueued(new ZincringErrorClass('key-rejected'));
    this.abort(new ZincringErrorClass('key-withdrawn-while-running'));
  }

  /** Bytes of the answer so far. */
  public get length(): number {
    return this.size;
  }

  /** Adds to the answer. */
  public append(data: Uint8Array): void {
    if (this.isOver) {
      return;
    }
    this.parts.push(data);
    this.size += data.length;
    this.wake();
  }

  /** Ends the answer. */
  public finish(end: Exclude<CallFrame, { kind: 'data' }>): void {
    this.end ??= end;
    this.phase = 'over';
    this.wake();
  }

  /** The whole answer so far as text. */
  public text(): string {
    return Buffer.concat(this.parts).toString('utf8');
  }

  /** Waits for the end of the answer. */
  public async ended(): Promise<void> {
    while (!this.isOver) {
      await this.changed;
    }
  }

  /** Follows the answer from an offset to its end. */
  public async *follow(fromOffset: number): AsyncGenerator<CallFrame> {
    let part = 0;
    let offset = 0;
    for (;;) {
      const changed = this.changed;
      for (; part < this.parts.length; part++) {
        const data = this.parts[part] ?? new Uint8Array();
        const skipped = Math.min(data.length, Math.max(0, fromOffset - offset));
        if (skipped < data.length) {
          yield { data: data.subarray(skipped), kind: 'data', offset: offset + skipped };
        }
        offset += data.length;
      }
      if (this.end !== undefined && part === this.parts.length) {
        yield this.end;
        return;
      }
      await changed;
    }
  }

  private wake(): void {
    const wake = this.wakeReaders;
    this.changed = this.renewSignal();
    wake();
  }

  private async renewSignal(): Promise<void> {
    await new Promise<void>(resolve => {
      this.wakeReaders = resolve;
    });
  }
}

/** Replays a finished answer from an offset. */
export async function* replayAnswer(
  answer: string,
  fromOffset: number,
  closed: CallClosed,
): AsyncGenerator<CallFrame> {
  const data = Buffer.from(answer);
  if (fromOffset < data.length) {
    yield { data: data.subarray(fromOffset), kind: 'data', offset: fromOffset };
  }
  yield await Promise.resolve(closed);
}
