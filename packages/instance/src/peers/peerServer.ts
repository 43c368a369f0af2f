import type { Http2Server } from 'node:http2';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import { PeerService } from '@zincring/protocol';
import { createServer } from 'node:http2';

import type { ProgramId, Result, WorkspaceName, ZincringError } from '@zincring/core';
import type { ProgramService, ProgramSummary } from '../programs/programMessages.js';
import type { Heartbeats } from './heartbeats.js';

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
}

/** Serves other instances over HTTP/2. */
export class PeerServer {
  private readonly server: Http2Server;

  public constructor(options: PeerServerOptions) {
    this.server = createServer(
      connectNodeAdapter({
        routes: router => {
          router.service(PeerService, {
            borrow: () => ({ tokens: 0, validMilliseconds: 0 }),
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
            keepCopy: () => ({ kept: false }),
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
