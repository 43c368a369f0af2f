import type { TimerService } from '@zincring/core';

import type { Replica } from './replicaTable.js';
import type { UpstreamFrame, UpstreamWork } from './upstreamMessages.js';

import { generateAtEngine } from './engineClient.js';
import { requestPlainService } from './plainServiceClient.js';

/** Sends work to one replica; throws an `UpstreamFailure` or whatever the connection threw. */
export interface ReplicaSender {
  send(replica: Replica, work: UpstreamWork, priority: number): AsyncIterable<UpstreamFrame>;
}

/** What sending over HTTP needs. */
export interface HttpReplicaSenderOptions {
  readonly timers: TimerService;
  /** Longest silence of an engine in the middle of an answer, in milliseconds. */
  readonly stallMilliseconds: number;
}

/** Sends work over HTTP, with limits on the whole time and on the silence between two frames. */
export class HttpReplicaSender implements ReplicaSender {
  public constructor(private readonly options: HttpReplicaSenderOptions) {}

  public async *send(
    replica: Replica,
    work: UpstreamWork,
    priority: number,
  ): AsyncGenerator<UpstreamFrame> {
    const limits = new AbortController();
    const abort = (): void => {
      limits.abort();
    };
    const deadline = this.options.timers.after(work.timeoutMilliseconds, abort);
    let stall = this.options.timers.after(this.stallLimit(work), abort);
    work.signal.addEventListener('abort', abort, { once: true });
    try {
      for await (const frame of open(replica, { ...work, signal: limits.signal }, priority)) {
        stall.stop();
        yield frame;
        stall = this.options.timers.after(this.stallLimit(work), abort);
      }
    } finally {
      deadline.stop();
      stall.stop();
      work.signal.removeEventListener('abort', abort);
      // A reader that leaves early frees the slot at the upstream.
      limits.abort();
    }
  }

  private stallLimit(work: UpstreamWork): number {
    return work.payload.protocol === 'engine'
      ? this.options.stallMilliseconds
      : work.timeoutMilliseconds;
  }
}

function open(
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
