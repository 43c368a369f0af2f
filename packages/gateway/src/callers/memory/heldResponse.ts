import type { TimerService, TimerSubscription } from '@zincring/core';
import type { ServerResponse } from 'node:http';

import type { HeldMemory, ReleaseMemory } from './heldMemory.js';

import { countUnsentBytes } from './countUnsentBytes.js';

/** What a {@link HeldResponse} needs. */
export interface HeldResponseDependencies {
  readonly memory: HeldMemory;
  readonly timers: TimerService;
  /** Returns the time for which a complete response may stay unread, in milliseconds. */
  readonly getUnreadMilliseconds: () => number;
  /** Called when a response is closed because its caller does not read it. */
  readonly onUnread: () => void;
}

/**
 * Counts the bytes of one response that its caller has not read yet. A complete response whose caller
 * reads nothing for the operator's idle timeout is closed, as an idle connection is.
 *
 * @example
 * const held = new HeldResponse(response, dependencies);
 * if (!held.write(bytes)) { await drained; }
 */
export class HeldResponse {
  private readonly pending = new Set<ReleaseMemory>();
  private unreadTimer: TimerSubscription | undefined;
  private unreadBytes = 0;
  private isClosed = false;

  public constructor(
    private readonly response: ServerResponse,
    private readonly dependencies: HeldResponseDependencies,
  ) {
    response.once('close', () => {
      this.isClosed = true;
      this.unreadTimer?.stop();
      this.pending.forEach(release => {
        release();
      });
      this.pending.clear();
    });
  }

  /** Writes bytes; returns whether more may be written before the caller has read them. */
  public write(bytes: Buffer): boolean {
    const isFlushing = this.response.write(bytes, this.hold(bytes));
    return isFlushing || this.dependencies.memory.allowsReadingAhead(this.unreadBytes);
  }

  /** Ends the response, with a last chunk if there is one. */
  public end(bytes?: Buffer): void {
    if (bytes === undefined || bytes.length === 0) {
      this.response.end();
    } else {
      this.response.end(bytes, this.hold(bytes));
    }
    this.watchUnread();
  }

  private hold(bytes: Buffer): ReleaseMemory {
    if (this.isClosed) {
      // Node drops what is written to a closed response, and may never call back.
      return () => undefined;
    }
    const release = this.dependencies.memory.hold(bytes.length);
    this.unreadBytes += bytes.length;
    this.pending.add(release);
    return () => {
      this.unreadBytes -= bytes.length;
      this.pending.delete(release);
      release();
    };
  }

  /** Closes the response if none of the unread bytes have been read when the time has passed. */
  private watchUnread(): void {
    if (this.isClosed || this.unreadBytes === 0) {
      return;
    }
    const { getUnreadMilliseconds, onUnread, timers } = this.dependencies;
    const previousUnreadBytes = this.unreadBytes;
    const previousUnsentBytes = countUnsentBytes(this.response.socket);
    this.unreadTimer = timers.after(getUnreadMilliseconds(), () => {
      if (this.isClosed || this.response.writableFinished) {
        return;
      }
      // A pipelined response waits for those before it, whatever its caller reads.
      const isQueued = this.response.socket === null;
      const isRead =
        this.unreadBytes < previousUnreadBytes ||
        countUnsentBytes(this.response.socket) !== previousUnsentBytes;
      if (isQueued || isRead) {
        this.watchUnread();
        return;
      }
      onUnread();
      // An orderly close would mark the end of a body without a length or chunks.
      this.response.socket.resetAndDestroy();
      this.response.destroy();
    });
  }
}
