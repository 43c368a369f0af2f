import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { ManualTimerService } from '@zincring/core';
import { EventEmitter, once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { describe, expect, it } from 'vitest';

import { HeldMemory } from '../../../src/callers/memory/heldMemory.js';
import { HeldResponse } from '../../../src/callers/memory/heldResponse.js';

const UNREAD_MILLISECONDS = 1_000;
const piece = Buffer.alloc(100);
/** More than the system takes over for a caller that reads nothing. */
const LARGE_BYTES = 64 * 1024 * 1024;

function makeConnection(writeQueueSize: number): {
  readonly _handle: { readonly writeQueueSize: number };
  readonly resetAndDestroy: () => void;
} {
  return { _handle: { writeQueueSize }, resetAndDestroy: () => undefined };
}

/** A response whose caller reads only what the test lets it read. */
class UnreadResponse extends EventEmitter {
  public writableFinished = false;
  public isDestroyed = false;
  /** Connection of the response; null while it waits for an earlier one. */
  public socket: ReturnType<typeof makeConnection> | null = makeConnection(100);
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
      response.socket = makeConnection(writeQueueSize);
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

  it('never looks complete when it has no length and is closed unread', async () => {
    const timers = new ManualTimerService();
    const unread = new EventEmitter();
    const server = createServer((_request, response) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { connection: 'close' });
      const held = new HeldResponse(response, {
        getUnreadMilliseconds: () => UNREAD_MILLISECONDS,
        memory: new HeldMemory(),
        onUnread: () => unread.emit('closed'),
        timers,
      });
      held.end(Buffer.alloc(LARGE_BYTES));
      unread.emit('written');
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let wasReset = false;
    caller.prependOnceListener('end', () => caller.write('', failure => (wasReset ||= !!failure)));
    caller.on('error', () => (wasReset = true));
    caller.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
    await once(unread, 'written');
    const closed = once(unread, 'closed');
    // What the system has taken over by itself counts as read once.
    const advancing = setInterval(() => void timers.advance(UNREAD_MILLISECONDS), 20);
    await closed;
    clearInterval(advancing);
    caller.resume();
    await new Promise(resolve => caller.on('close', resolve));
    server.close();
    expect(wasReset).toBe(true);
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
