import type { Result, TimerService } from '@zincring/core';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { BodyContent, Err, Ok } from '@zincring/core';

import type { Droppable, HeldMemory, ReleaseMemory } from '../callers/memory/heldMemory.js';

/**
 * Reason for which a body was not read completely: the connection was lost, the body is larger than
 * allowed, or it was given up because the instance cannot hold it.
 */
export type BodyReadFailure = 'broken' | 'memory-full' | 'too-large';

/** What a {@link RequestBody} needs. */
export interface RequestBodyDependencies {
  /** Maximum size of the body, in bytes. */
  readonly maximumBytes: number;
  readonly memory: HeldMemory;
  readonly timers: Pick<TimerService, 'now'>;
  /** Called for each piece of the body. */
  readonly onPiece?: () => void;
}

const NOTHING = Buffer.alloc(0);

/**
 * Reads the body of a request from the moment of its head on, and counts it until the response has been
 * read.
 *
 * @example
 * const body = await new RequestBody(request, response, dependencies).read();
 */
export class RequestBody implements Droppable {
  private readonly content = new BodyContent();
  private size = 0;
  private countedBytes = 0;
  private releaseHeld: ReleaseMemory | undefined;
  private isSkipped = false;
  private failure: BodyReadFailure | undefined;
  private readonly startedAt: number;
  /** Resolves at the end of the body; `undefined` for a request without one. */
  private readonly ended: Promise<void> | undefined;

  public constructor(
    private readonly request: IncomingMessage,
    response: ServerResponse,
    private readonly dependencies: RequestBodyDependencies,
  ) {
    this.startedAt = dependencies.timers.now();
    if (!hasBody(request)) {
      request.resume();
      this.ended = undefined;
      return;
    }
    response.once('close', () => {
      // A body whose sender has left must never look complete.
      this.fail('broken');
    });
    this.ended = new Promise(resolve => {
      request.on('data', (chunk: Buffer) => {
        this.add(chunk);
        if (this.failure === 'too-large') {
          resolve();
        }
      });
      request.once('end', resolve);
      request.once('close', resolve);
      // A lost connection shows in `complete`.
      request.on('error', () => undefined);
    });
  }

  public get heldBytes(): number {
    return this.content.heldBytes;
  }

  public get heldSince(): number {
    return this.startedAt;
  }

  /** Reads the complete body. */
  public async read(): Promise<Result<Buffer, BodyReadFailure>> {
    if (this.ended === undefined) {
      return Ok(NOTHING);
    }
    await this.ended;
    if (this.failure === undefined || this.failure === 'memory-full') {
      this.failure = this.request.complete ? this.failure : 'broken';
    }
    if (this.failure !== undefined) {
      return Err(this.failure);
    }
    const content = this.content.complete();
    this.countHeld();
    this.dependencies.memory.removeDroppable(this);
    return Ok(content);
  }

  /**
   * Reads the rest of a body that is not needed and keeps nothing of it, since a sender that is cut off
   * would not see the response; returns whether the sender is still there.
   */
  public async skip(): Promise<boolean> {
    this.clear();
    this.isSkipped = true;
    await this.ended;
    return this.failure === 'too-large' || this.ended === undefined || this.request.complete;
  }

  public drop(): void {
    this.fail('memory-full');
  }

  private fail(failure: BodyReadFailure): void {
    this.failure ??= failure;
    this.clear();
  }

  private clear(): void {
    this.content.clear();
    this.releaseHeld?.();
    this.releaseHeld = undefined;
    this.countedBytes = 0;
    this.dependencies.memory.removeDroppable(this);
  }

  private add(chunk: Buffer): void {
    const { maximumBytes, onPiece } = this.dependencies;
    onPiece?.();
    this.size += chunk.length;
    if (this.size > maximumBytes) {
      // Also one that was given up is not read any further.
      this.failure = 'too-large';
      this.clear();
    }
    if (this.failure === undefined && !this.isSkipped) {
      this.keep(chunk);
    }
  }

  private keep(chunk: Buffer): void {
    const { memory, timers } = this.dependencies;
    memory.makeRoom(timers.now());
    if (memory.isFull) {
      this.drop();
    }
    // Making room may have given up this body as well.
    if (this.failure === undefined) {
      this.content.append(chunk);
      this.countHeld();
    }
  }

  private countHeld(): void {
    const { memory } = this.dependencies;
    if (this.heldBytes !== this.countedBytes) {
      this.releaseHeld?.();
      this.countedBytes = this.heldBytes;
      this.releaseHeld = memory.hold(this.countedBytes);
      memory.addDroppable(this);
    }
  }
}

/**
 * Whether the head of a request announces a body.
 *
 * @example
 * hasBody({ headers: { 'content-length': '5' } }); // true
 */
export function hasBody({ headers }: Pick<IncomingMessage, 'headers'>): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}
