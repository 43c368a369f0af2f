import type { Http2Server, ServerHttp2Session } from 'node:http2';
import type { Socket } from 'node:net';

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
  TimerService,
  WorkspaceName,
  ZincringError,
} from '@zincring/core';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { CallFrameSchema, CallRequest, KeepCopyRequest } from '@zincring/protocol';
import type { TokenLender } from '../limits/tokenLender.js';
import type { CopyKeeper, CopyRequest } from '../programs/copyKeeper.js';
import type { CallFrame, ProgramService, ProgramSummary } from '../programs/programMessages.js';
import type { OperatorStatusSource } from '../operators/operatorStatus.js';
import type { GoneProgram } from '../upstreams/engineSweeper.js';
import type { Heartbeats } from './heartbeats.js';

import { loanRequestFromMessage, loanToMessage } from '../limits/loanConversions.js';
import { registerOperatorService } from '../operators/operatorService.js';
import {
  callFromMessage,
  errorToMessage,
  frameToMessage,
  summaryToMessage,
} from './peerConversions.js';

/** Dependencies of {@link PeerServer}. */
export interface PeerServerOptions {
  /** Serves the programs that this instance holds. */
  readonly home: ProgramService;
  readonly heartbeats: Heartbeats;
  /** Returns those programs that have ended or are unknown, for shards that this instance holds. */
  readonly findGone: (programs: readonly ProgramId[]) => readonly GoneProgram[];
  readonly lender: TokenLender;
  readonly copies: CopyKeeper;
  readonly operators: OperatorStatusSource;
  readonly timers: TimerService;
}

/** Maximum time for peers to read their streams to the end while draining, in milliseconds. */
const DRAIN_TIMEOUT_MILLISECONDS = 15_000;

/** Serves other instances over HTTP/2. */
export class PeerServer {
  private readonly server: Http2Server;
  private readonly sessions = new Set<ServerHttp2Session>();
  private readonly sockets = new Set<Socket>();
  private isDraining = false;

  public constructor(private readonly options: PeerServerOptions) {
    this.server = createServer(
      connectNodeAdapter({
        routes: router => {
          registerOperatorService(router, options.operators);
          router.service(PeerService, {
            borrow: message => loanToMessage(options.lender.lend(loanRequestFromMessage(message))),
            call: async function* call(message) {
              yield* createFrameMessages(options.home.call(callFromMessage(message)), message);
            },
            describeProgram: async message =>
              summaryResultToMessage(await options.home.describe(referenceFromMessage(message))),
            endProgram: async message =>
              summaryResultToMessage(await options.home.end(referenceFromMessage(message))),
            exchange: message => options.heartbeats.handleHeartbeat(message),
            findGone: message => ({
              gone: options
                .findGone(message.programs as readonly string[] as readonly ProgramId[])
                .map(({ fence, program }) => ({ epoch: BigInt(fence), program })),
            }),
            keepCopy: message => ({ kept: options.copies.keep(copyRequestFromMessage(message)) }),
            openProgram: async message =>
              summaryResultToMessage(
                await options.home.open({
                  ...referenceFromMessage(message),
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
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server.on('session', session => {
      this.sessions.add(session);
      session.once('close', () => {
        this.sessions.delete(session);
        this.closeIdleSockets();
      });
    });
  }

  /** Listens on an IP address and port. */
  public async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /**
   * Accepts no new streams, waits for the open ones to end and then closes the connections. The
   * wait is bounded, since a peer may have stopped reading; by its end, the work on every stream has
   * finished.
   */
  public async drain(): Promise<void> {
    this.isDraining = true;
    const closed = new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
    this.sessions.forEach(session => {
      session.close();
    });
    this.closeIdleSockets();
    const timeout = this.options.timers.after(DRAIN_TIMEOUT_MILLISECONDS, () => {
      this.sockets.forEach(socket => socket.destroy());
    });
    await closed;
    timeout.stop();
  }

  /** Closes sockets without an HTTP/2 session, once draining has ended the last session. */
  private closeIdleSockets(): void {
    if (this.isDraining && this.sessions.size === 0) {
      this.sockets.forEach(socket => socket.destroy());
    }
  }
}

/** Yields the frames of a response; the offset of the closing one is the response's length. */
async function* createFrameMessages(
  frames: AsyncIterable<CallFrame>,
  { fromOffset }: Pick<CallRequest, 'fromOffset'>,
): AsyncGenerator<MessageInitShape<typeof CallFrameSchema>> {
  let endOffset = fromOffset;
  for await (const frame of frames) {
    if (frame.kind === 'data') {
      endOffset = BigInt(frame.offset + frame.data.length);
    }
    yield { ...frameToMessage(frame), ...(frame.kind === 'closed' ? { offset: endOffset } : {}) };
  }
}

function copyRequestFromMessage(message: KeepCopyRequest): CopyRequest {
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

function referenceFromMessage(message: { readonly workspace: string; readonly program: string }): {
  readonly workspace: WorkspaceName;
  readonly program: ProgramId;
} {
  return {
    program: message.program as ProgramId,
    workspace: message.workspace as WorkspaceName,
  };
}

function summaryResultToMessage(result: Result<ProgramSummary, ZincringError>): {
  result:
    | { case: 'error'; value: ReturnType<typeof errorToMessage> }
    | { case: 'state'; value: ReturnType<typeof summaryToMessage> };
} {
  return result.ok
    ? { result: { case: 'state', value: summaryToMessage(result.val) } }
    : { result: { case: 'error', value: errorToMessage(result.val) } };
}
