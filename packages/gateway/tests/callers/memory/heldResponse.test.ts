import type { ServerResponse } from 'node:http';

import { ManualTimerService } from '@zincring/core';
import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';

import { HeldMemory } from '../../../src/callers/memory/heldMemory.js';
import { HeldResponse } from '../../../src/callers/memory/heldResponse.js';

const UNREAD_MILLISECONDS = 1_000;
const piece = Buffer.alloc(100);

/** A response whose caller reads only what the test lets it read. */
class UnreadResponse extends EventEmitter {
  public writableFinished = false;
  public isDestroyed = false;
  /** Connection of the response; null while it waits for an earlier one. */
  public socket: { _handle: { writeQueueSize: number } } | null = {
    _handle: { writeQueueSize: 100 },
  };
  private readonly unread: (() => void)[] = [];

  public write(_bytes: Buffer, onRead: () => void): boolean {
    this.unread.push(onRead);
    return false;
  }

  public end(bytes?: Buffer, onRead?: () => void): void {
    if (bytes !== undefined && onRead !== undefined) {
      this.write(bytes, onRead);
    }
  }

  public destroy(): void {
    this.isDestroyed = true;
    this.emit('close');
  }

  /** Lets the caller read a number of pieces. */
  public read(count: number): void {
    this.unread.splice(0, count).forEach(onRead => {
      onRead();
    });
  }
}

function setUp(): {
  readonly held: HeldResponse;
  readonly memory: HeldMemory;
  readonly response: UnreadResponse;
  readonly timers: ManualTimerService;
  readonly countUnread: () => number;
} {
  const timers = new ManualTimerService();
  const memory = new HeldMemory({ capacityBytes: 10_000, maximumResponseBytes: 1_000 });
  const response = new UnreadResponse();
  let unreadCount = 0;
  const held = new HeldResponse(response as unknown as ServerResponse, {
    getUnreadMilliseconds: () => UNREAD_MILLISECONDS,
    memory,
    onUnread: () => unreadCount++,
    timers,
  });
  return { countUnread: () => unreadCount, held, memory, response, timers };
}

describe('the response to a slow caller', () => {
  it('is read ahead up to its share of the memory, and further once the caller reads', () => {
    const { held, memory, response } = setUp();
    const written = Array.from({ length: 10 }, () => held.write(piece));
    expect(written).toEqual([...Array.from({ length: 9 }, () => true), false]);
    response.read(5);
    expect(memory.bytes).toBe(500);
    expect(held.write(piece)).toBe(true);
  });

  it('releases its memory when the caller leaves', () => {
    const { held, memory, response } = setUp();
    held.write(piece);
    held.end(piece);
    response.destroy();
    response.read(2);
    expect(memory.bytes).toBe(0);
  });

  it('holds nothing for a caller that left before its response was ready', () => {
    const { held, memory, response } = setUp();
    response.destroy();
    held.write(piece);
    held.end(piece);
    expect(memory.bytes).toBe(0);
  });

  it('stays open while the caller reads a part of one large write at a time', async () => {
    const { countUnread, held, response, timers } = setUp();
    held.end(piece);
    for (const writeQueueSize of [60, 20]) {
      response.socket = { _handle: { writeQueueSize } };
      await timers.advance(UNREAD_MILLISECONDS);
      expect(response.isDestroyed).toBe(false);
    }
    await timers.advance(UNREAD_MILLISECONDS);
    expect(response.isDestroyed).toBe(true);
    expect(countUnread()).toBe(1);
  });

  it('stays open while it waits for an earlier response of its connection', async () => {
    const { held, response, timers } = setUp();
    response.socket = null;
    held.end(piece);
    await timers.advance(3 * UNREAD_MILLISECONDS);
    expect(response.isDestroyed).toBe(false);
  });

  it('stays open while the caller reads on, and is closed once it reads nothing', async () => {
    const { countUnread, held, response, timers } = setUp();
    held.write(piece);
    held.write(piece);
    held.end();
    response.read(1);
    await timers.advance(UNREAD_MILLISECONDS);
    expect(response.isDestroyed).toBe(false);
    await timers.advance(UNREAD_MILLISECONDS);
    expect(response.isDestroyed).toBe(true);
    expect(countUnread()).toBe(1);
  });
});
