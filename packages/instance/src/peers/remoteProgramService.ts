import type { CallOptions } from '@connectrpc/connect';
import type { Result } from '@zincring/core';

import { Code, ConnectError } from '@connectrpc/connect';
import { Err, Ok, ZincringError } from '@zincring/core';

import type {
  CallFrame,
  CallRequest,
  OpenProgramRequest,
  ProgramReference,
  ProgramService,
  ProgramSummary,
} from '../programs/programMessages.js';
import type { PeerClient } from './peerClients.js';
import type { DescribeProgramResponse } from '@zincring/protocol';

import { FrameSequence } from './frameSequence.js';
import { HomeUnreachableError } from './homeUnreachableError.js';
import { callToMessage, errorFromMessage, summaryFromMessage } from './peerConversions.js';

/** Timeout of a request to another instance other than a call, in milliseconds. */
const SHORT_REQUEST_TIMEOUT_MILLISECONDS = 10_000;

/** Margin of the timeout of a stream over that of its call, in milliseconds. */
const STREAM_TIMEOUT_MARGIN_MILLISECONDS = 2_000;

/** Forwards requests for programs to their home on another instance. */
export class RemoteProgramService implements ProgramService {
  public constructor(private readonly client: PeerClient) {}

  public async open(request: OpenProgramRequest): Promise<Result<ProgramSummary, ZincringError>> {
    const { deadlineMilliseconds = 0, policy, program, workspace } = request;
    return await receiveSummary(
      this.client.openProgram(
        {
          deadlineMilliseconds: BigInt(Math.ceil(deadlineMilliseconds)),
          policy,
          program,
          workspace,
        },
        { timeoutMs: SHORT_REQUEST_TIMEOUT_MILLISECONDS },
      ),
    );
  }

  public async describe(
    reference: ProgramReference,
  ): Promise<Result<ProgramSummary, ZincringError>> {
    return await receiveSummary(
      this.client.describeProgram(referenceToMessage(reference), {
        timeoutMs: SHORT_REQUEST_TIMEOUT_MILLISECONDS,
      }),
    );
  }

  public async end(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>> {
    return await receiveSummary(
      this.client.endProgram(referenceToMessage(reference), {
        timeoutMs: SHORT_REQUEST_TIMEOUT_MILLISECONDS,
      }),
    );
  }

  public async *call(request: CallRequest): AsyncGenerator<CallFrame> {
    const frameSequence = new FrameSequence(request.fromOffset);
    const streamAbort = new AbortController();
    const options: CallOptions = {
      signal: streamAbort.signal,
      timeoutMs: request.timeoutMilliseconds + STREAM_TIMEOUT_MARGIN_MILLISECONDS,
    };
    let endFrame: CallFrame | undefined;
    try {
      for await (const message of this.client.call(callToMessage(request), options)) {
        const frame = endFrame === undefined ? frameSequence.accept(message) : undefined;
        if (frame?.kind === 'data') {
          yield frame;
        } else {
          endFrame ??= frame;
        }
      }
      yield endFrame ?? createUnreachableFrame('the stream ended early');
    } catch (failure) {
      yield endFrame ?? { error: classifyPeerFailure(failure), kind: 'failed' };
    } finally {
      // A stream that is not read to its end stays open and keeps the home from shutting down.
      streamAbort.abort();
    }
  }
}

function createUnreachableFrame(detail: string): CallFrame {
  return { error: new HomeUnreachableError(true, detail), kind: 'failed' };
}

function referenceToMessage({ program, workspace }: ProgramReference): ProgramReference {
  return { program, workspace };
}

async function receiveSummary(
  response: Promise<Pick<DescribeProgramResponse, 'result'>>,
): Promise<Result<ProgramSummary, ZincringError>> {
  try {
    const { result } = await response;
    switch (result.case) {
      case 'state':
        return Ok(summaryFromMessage(result.value));
      case 'error':
        return Err(errorFromMessage(result.value));
      case undefined:
        return Err(new ZincringError('internal', { detail: 'an empty answer of an instance' }));
    }
  } catch (failure) {
    return Err(classifyPeerFailure(failure));
  }
}

function classifyPeerFailure(failure: unknown): ZincringError {
  if (failure instanceof ZincringError) {
    return failure;
  }
  const error = ConnectError.from(failure);
  if (error.code === Code.DeadlineExceeded) {
    return new ZincringError('deadline-exceeded');
  }
  const cause = error.cause as { readonly code?: unknown } | undefined;
  const isConnectionRefused = error.code === Code.Unavailable && cause?.code === 'ECONNREFUSED';
  return new HomeUnreachableError(!isConnectionRefused, 'the home of the program did not answer');
}
