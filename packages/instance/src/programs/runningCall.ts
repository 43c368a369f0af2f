import type { ZincringError } from '@zincring/core';

import type { CallClosed, CallFrame, CallRequest } from './programMessages.js';

import { ZincringError as ZincringErrorClass } from '@zincring/core';

/** Phase of a call. */
export type RunningCallPhase = 'over' | 'queued' | 'running';

/**
 * A queued or running call and its response so far. Any number of readers can follow the response,
 * each from its own offset.
 */
export class RunningCall {
  private phase: RunningCallPhase = 'queued';
  private readonly abortController = new AbortController();
  private readonly chunks: Uint8Array[] = [];
  private byteLength = 0;
  private endFrame: Exclude<CallFrame, { kind: 'data' }> | undefined;
  private resolveChanged: () => void = () => undefined;
  private changed: Promise<void> = this.createChangePromise();

  public constructor(
    public readonly request: CallRequest,
    /** Digest of the request; distinguishes a resend from a different request. */
    public readonly requestDigest: string,
  ) {}

  /** Signal that is aborted together with the call. */
  public get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Whether the response has ended, after which no request may be sent for the call. */
  public get isFinished(): boolean {
    return this.phase === 'over';
  }

  /**
   * Changes the phase from queued to running.
   *
   * @returns `false` if the call has already finished
   */
  public start(): boolean {
    if (this.phase !== 'queued') {
      return false;
    }
    this.phase = 'running';
    return true;
  }

  /** Ends the call if it is still queued, in which case it has certainly not run. */
  public refuseIfQueued(error: ZincringError): void {
    if (this.phase === 'queued') {
      this.finish({ error, kind: 'failed' });
    }
  }

  /** Aborts the call: its request in flight is cancelled, and no other one will be sent. */
  public abort(error: ZincringError): void {
    this.finish({ error, kind: 'failed' });
    this.abortController.abort(new DOMException(error.message, 'AbortError'));
  }

  /** Ends the call because another holder has, or may have, acquired the shard. */
  public interrupt(): void {
    this.refuseIfQueued(new ZincringErrorClass('shard-unavailable'));
    this.abort(new ZincringErrorClass('call-interrupted'));
  }

  /** Ends the call because the key that authenticated it was withdrawn. */
  public endOnKeyWithdrawal(): void {
    this.refuseIfQueued(new ZincringErrorClass('key-rejected'));
    this.abort(new ZincringErrorClass('key-withdrawn-while-running'));
  }

  /** Length of the response so far, in bytes. */
  public get length(): number {
    return this.byteLength;
  }

  /** Appends data to the response unless it has ended. */
  public append(data: Uint8Array): void {
    if (this.isFinished) {
      return;
    }
    this.chunks.push(data);
    this.byteLength += data.length;
    this.notifyReaders();
  }

  /** Ends the response; only the first end frame counts. */
  public finish(endFrame: Exclude<CallFrame, { kind: 'data' }>): void {
    this.endFrame ??= endFrame;
    this.phase = 'over';
    this.notifyReaders();
  }

  /** Returns the response so far as text. */
  public text(): string {
    return Buffer.concat(this.chunks).toString('utf8');
  }

  /** Waits for the end of the response. */
  public async waitForEnd(): Promise<void> {
    while (!this.isFinished) {
      await this.changed;
    }
  }

  /** Yields the frames of the response from an offset until its end. */
  public async *follow(fromOffset: number): AsyncGenerator<CallFrame> {
    let chunkIndex = 0;
    let offset = 0;
    for (;;) {
      const changed = this.changed;
      for (; chunkIndex < this.chunks.length; chunkIndex++) {
        const data = this.chunks[chunkIndex] ?? new Uint8Array();
        const skippedBytes = Math.min(data.length, Math.max(0, fromOffset - offset));
        if (skippedBytes < data.length) {
          yield { data: data.subarray(skippedBytes), kind: 'data', offset: offset + skippedBytes };
        }
        offset += data.length;
      }
      if (this.endFrame !== undefined && chunkIndex === this.chunks.length) {
        yield this.endFrame;
        return;
      }
      await changed;
    }
  }

  private notifyReaders(): void {
    const resolveChanged = this.resolveChanged;
    this.changed = this.createChangePromise();
    resolveChanged();
  }

  private async createChangePromise(): Promise<void> {
    await new Promise<void>(resolve => {
      this.resolveChanged = resolve;
    });
  }
}

/** Yields the frames of a finished response from an offset. */
export async function* replayResponse(
  response: string,
  fromOffset: number,
  closed: CallClosed,
): AsyncGenerator<CallFrame> {
  const data = Buffer.from(response);
  if (fromOffset < data.length) {
    yield { data: data.subarray(fromOffset), kind: 'data', offset: fromOffset };
  }
  yield await Promise.resolve(closed);
}
