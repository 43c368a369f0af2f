import type { Http2Server } from 'node:http2';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import { PeerService } from '@zincring/protocol';
import { createServer } from 'node:http2';

import type {
  Epoch,
  IncarnationId,
  InstanceId,
  ProgramId,
  Result,
  ShardId,
  WorkspaceName,
  ZincringError,
} from '@zincring/core';
import type { KeepCopyRequest } from '@zincring/protocol';
import type { TokenLender } from '../limits/tokenLender.js';
import type { CopyKeeper, CopyRequest } from '../programs/copyKeeper.js';
import type { ProgramService, ProgramSummary } from '../programs/programMessages.js';
import type { GoneProgram } from '../upstreams/engineSweeper.js';
import type { Heartbeats } from './heartbeats.js';

import { loanRequestFromMessage, loanToMessage } from '../limits/loanConversions.js';
import {
  callFromMessage,
  errorToMessage,
  frameToMessage,
  summaryToMessage,
} from './peerConversions.js';

/** What serving other instances needs. */
export interface PeerServerOptions {
  readonly home: ProgramService;
  readonly heartbeats: Heartbeats;
  /** Programs that are gone, of those whose shards are held here. */
  readonly findGone: (programs: readonly ProgramId[]) => readonly GoneProgram[];
  readonly lender: TokenLender;
  readonly copies: CopyKeeper;
}

/** Serves other instances over HTTP/2. */
export class PeerServer {
  private readonly server: Http2Server;

  public constructor(options: PeerServerOptions) {
    this.server = createServer(
      connectNodeAdapter({
        routes: router => {
          router.service(PeerService, {
            borrow: message => loanToMessage(options.lender.lend(loanRequestFromMessage(message))),
            call: async function* call(message) {
              for await (const frame of options.home.call(callFromMessage(message))) {
                yield frameToMessage(frame);
              }
            },
            describeProgram: async message =>
              summaryResponse(await options.home.describe(reference(message))),
            endProgram: async message =>
              summaryResponse(await options.home.end(reference(message))),
            exchange: message => options.heartbeats.answer(message),
            findGone: message => ({
              gone: options
                .findGone(message.programs as readonly string[] as readonly ProgramId[])
                .map(({ fence, program }) => ({ epoch: BigInt(fence), program })),
            }),
            keepCopy: message => ({ kept: options.copies.keep(copyRequest(message)) }),
            openProgram: async message =>
              summaryResponse(
                await options.home.open({
                  ...reference(message),
                  deadlineMilliseconds:
                    message.deadlineMilliseconds === 0n
                      ? undefined
                      : Number(message.deadlineMilliseconds),
                  policy: message.policy,
                }),
              ),
          });
        },
      }),
    );
  }

  /** Listens on an IP number and port. */
  public async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Stops listening. */
  public close(): void {
    this.server.close();
  }
}

function copyRequest(message: KeepCopyRequest): CopyRequest {
  return {
    flushedSequence: Number(message.flushedSequence),
    incarnation: message.incarnation as IncarnationId,
    instance: message.instance as InstanceId,
    records: message.records.map(record => ({
      epoch: Number(record.epoch) as Epoch,
      payload: record.payload,
      sequence: Number(record.sequence),
      shard: record.shard as ShardId,
    })),
  };
}

function reference(message: { readonly workspace: string; readonly program: string }): {
  readonly workspace: WorkspaceName;
  readonly program: ProgramId;
} {
  return {
    program: message.program as ProgramId,
    workspace: message.workspace as WorkspaceName,
  };
}

function summaryResponse(result: Result<ProgramSummary, ZincringError>): {
  result:
    | { case: 'error'; value: ReturnType<typeof errorToMessage> }
    | { case: 'state'; value: ReturnType<typeof summaryToMessage> };
} {
  return result.ok
    ? { result: { case: 'state', value: summaryToMessage(result.val) } }
    : { result: { case: 'error', value: errorToMessage(result.val) } };
}
