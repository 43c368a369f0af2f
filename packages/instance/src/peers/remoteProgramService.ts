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

import {
  callToMessage,
  errorFromMessage,
  frameFromMessage,
  summaryFromMessage,
} from './peerConversions.js';

/** Time allowed for a short request to another instance, in milliseconds. */
const SHORT_REQUEST_MILLISECONDS = 10_000;

/** Programs whose home is another instance. */
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
        { timeoutMs: SHORT_REQUEST_MILLISECONDS },
      ),
    );
  }

  public async describe(
    reference: ProgramReference,
  ): Promise<Result<ProgramSummary, ZincringError>> {
    return await receiveSummary(
      this.client.describeProgram(pick(reference), { timeoutMs: SHORT_REQUEST_MILLISECONDS }),
    );
  }

  public async end(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>> {
    return await receiveSummary(
      this.client.endProgram(pick(reference), { timeoutMs: SHORT_REQUEST_MILLISECONDS }),
    );
  }

  public async *call(request: CallRequest): AsyncGenerator<CallFrame> {
    try {
      for await (const message of this.client.call(callToMessage(request))) {
        yield frameFromMessage(message);
      }
    } catch (failure) {
      yield { error: classifyPeerFailure(failure), kind: 'failed' };
    }
  }
}

function pick({ program, workspace }: ProgramReference): ProgramReference {
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
  const error = ConnectError.from(failure);
  const cause = error.cause as { readonly code?: unknown } | undefined;
  const isRefused = error.code === Code.Unavailable && cause?.code === 'ECONNREFUSED';
  return isRefused
    ? new ZincringError('shard-unavailable')
    : new ZincringError('call-interrupted', { detail: 'the home of the program did not answer' });
}
