import type { TimerService, TimerSubscription } from '@zincring/core';
import type { ServerResponse } from 'node:http';

import type { Droppable, HeldMemory, ReleaseMemory } from './heldMemory.js';

import { countUnsentBytes } from './countUnsentBytes.js';

/** Time for which a caller that reads nothing keeps its response while memory is full, in milliseconds. */
const MINIMUM_UNREAD_MILLISECONDS = 1_000;

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
 * reads nothing for the operator's idle timeout is closed, as an idle connection is; while memory is
 * full, the one that has been left unread the most goes first.
 *
 * @example
 * const held = new HeldResponse(response, dependencies);
 * if (!held.write(bytes)) { await drained; }
 */
export class HeldResponse implements Droppable {
  public readonly droppableAfterMilliseconds = MINIMUM_UNREAD_MILLISECONDS;
  private readonly pending = new Set<ReleaseMemory>();
  private unreadTimer: TimerSubscription | undefined;
  private unreadBytes = 0;
  private isClosed = false;
  /** What was unread when the caller was last seen to read. */
  private progress = { unreadBytes: 0, unsentBytes: 0, at: 0 };

  public constructor(
    private readonly response: ServerResponse,
    private readonly dependencies: HeldResponseDependencies,
  ) {
    response.once('close', () => {
      this.isClosed = true;
      this.unreadTimer?.stop();
      this.releaseAll();
    });
  }

  public get heldBytes(): number {
    return this.isClosed ? 0 : this.unreadBytes;
  }

  public findHeldSince(now: number): number {
    const unsentBytes = countUnsentBytes(this.response.socket);
    const { unreadBytes } = this;
    if (unsentBytes !== this.progress.unsentBytes || unreadBytes !== this.progress.unreadBytes) {
      this.progress = { at: now, unreadBytes, unsentBytes };
    }
    return this.progress.at;
  }

  public drop(): void {
    this.close();
    this.isClosed = true;
    this.releaseAll();
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
    if (!this.isClosed && this.unreadBytes > 0) {
      const { memory, timers } = this.dependencies;
      this.findHeldSince(timers.now());
      memory.addDroppable(this);
      memory.makeRoom(timers.now(), false);
      this.watchUnread();
    }
  }

  private releaseAll(): void {
    this.dependencies.memory.removeDroppable(this);
    this.pending.forEach(release => {
      release();
    });
    this.pending.clear();
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
    const { getUnreadMilliseconds, timers } = this.dependencies;
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
      this.close();
    });
  }

  private close(): void {
    this.dependencies.onUnread();
    // An orderly close would mark the end of a body without a length or chunks.
    (this.response.socket ?? this.response.req.socket).resetAndDestroy();
    this.response.destroy();
  }
}
