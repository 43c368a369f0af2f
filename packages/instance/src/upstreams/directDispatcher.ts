import type { ReplicaTable, Replica } from './replicaTable.js';
import type { UpstreamDispatcher, UpstreamFrame, UpstreamWork } from './upstreamMessages.js';

import { ZincringError } from '@zincring/core';

import { generateAtEngine } from './engineClient.js';
import { requestPlainService } from './plainServiceClient.js';

/** Sends work to the replicas in turn, without queueing and without retries. */
export class DirectDispatcher implements UpstreamDispatcher {
  private nextReplica = 0;

  public constructor(private readonly replicas: ReplicaTable) {}

  public async *dispatch(work: UpstreamWork): AsyncGenerator<UpstreamFrame> {
    const replicas = this.replicas.of(work.service);
    const replica = replicas[this.nextReplica++ % Math.max(1, replicas.length)];
    if (replica === undefined) {
      yield { error: new ZincringError('upstream-unavailable'), kind: 'failed' };
      return;
    }
    const prepared = await work.beforeSend();
    if (prepared.err) {
      yield { error: prepared.val, kind: 'failed' };
      return;
    }
    try {
      yield* sendTo(replica, work);
    } catch (failure) {
      yield { error: classifyFailure(failure), kind: 'failed' };
    }
  }
}

function sendTo(replica: Replica, work: UpstreamWork): AsyncIterable<UpstreamFrame> {
  switch (work.payload.protocol) {
    case 'engine':
      return generateAtEngine(replica, work, work.payload, work.attainedTokens);
    case 'plain':
      return requestPlainService(replica, work, work.payload);
  }
}

function classifyFailure(failure: unknown): ZincringError {
  if (failure instanceof ZincringError) {
    return failure;
  }
  const { code, name } = failure as { readonly code?: string; readonly name?: string };
  if (code === 'ECONNREFUSED') {
    return new ZincringError('upstream-unavailable');
  }
  const isTimeout = name === 'TimeoutError' || name === 'AbortError';
  return new ZincringError(isTimeout ? 'deadline-exceeded' : 'upstream-failed');
}
