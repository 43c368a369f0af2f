import type { CallClosed, CallFrame } from './programMessages.js';

/**
 * The answer of a call while it is made: it can be followed by any number of readers, each from
 * an offset of its own.
 */
export class RunningCall {
  private readonly parts: Uint8Array[] = [];
  private size = 0;
  private end: Exclude<CallFrame, { kind: 'data' }> | undefined;
  private wakeReaders: () => void = () => undefined;
  private changed: Promise<void> = this.renewSignal();

  /** Bytes of the answer so far. */
  public get length(): number {
    return this.size;
  }

  /** Adds to the answer. */
  public append(data: Uint8Array): void {
    this.parts.push(data);
    this.size += data.length;
    this.signal();
  }

  /** Ends the answer. */
  public finish(end: Exclude<CallFrame, { kind: 'data' }>): void {
    this.end ??= end;
    this.signal();
  }

  /** The whole answer so far as text. */
  public text(): string {
    return Buffer.concat(this.parts).toString('utf8');
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

  private signal(): void {
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
