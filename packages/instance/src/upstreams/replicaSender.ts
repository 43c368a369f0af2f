import type { TimerService } from '@zincring/core';

import type { Replica } from './replicaTable.js';
import type { UpstreamFrame, UpstreamWork } from './upstreamMessages.js';

import { generateAtEngine } from './engineClient.js';
import { requestPlainService } from './plainServiceClient.js';

/** Sends work to one replica; throws an `UpstreamFailure` or the error of the connection. */
export interface ReplicaSender {
  send(replica: Replica, work: UpstreamWork, priority: number): AsyncIterable<UpstreamFrame>;
}

/** Dependencies and settings of an {@link HttpReplicaSender}. */
export interface HttpReplicaSenderOptions {
  readonly timers: TimerService;
  /** Maximum time without a new frame of an engine's response, in milliseconds. */
  readonly stallMilliseconds: number;
}

/** Sends work over HTTP, with timeouts for the complete response and for the next frame. */
export class HttpReplicaSender implements ReplicaSender {
  public constructor(private readonly options: HttpReplicaSenderOptions) {}

  public async *send(
    replica: Replica,
    work: UpstreamWork,
    priority: number,
  ): AsyncGenerator<UpstreamFrame> {
    const abortController = new AbortController();
    const abort = (): void => {
      abortController.abort();
    };
    const deadlineTimer = this.options.timers.after(work.timeoutMilliseconds, abort);
    let stallTimer = this.options.timers.after(this.getStallTimeout(work), abort);
    work.signal.addEventListener('abort', abort, { once: true });
    try {
      for await (const frame of openStream(
        replica,
        { ...work, signal: abortController.signal },
        priority,
      )) {
        stallTimer.stop();
        yield frame;
        stallTimer = this.options.timers.after(this.getStallTimeout(work), abort);
      }
    } finally {
      deadlineTimer.stop();
      stallTimer.stop();
      work.signal.removeEventListener('abort', abort);
      // If the consumer stopped early, aborting the request frees the slot at the upstream.
      abortController.abort();
    }
  }

  private getStallTimeout(work: UpstreamWork): number {
    return work.payload.protocol === 'engine'
      ? this.options.stallMilliseconds
      : work.timeoutMilliseconds;
  }
}

function openStream(
  replica: Replica,
  work: UpstreamWork,
  priority: number,
): AsyncIterable<UpstreamFrame> {
  switch (work.payload.protocol) {
    case 'engine':
      return generateAtEngine(replica, work, work.payload, priority);
    case 'plain':
      return requestPlainService(replica, work, work.payload);
  }
}
