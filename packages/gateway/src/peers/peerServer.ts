import type { WorkspaceTurnCounts } from '@zincring/scheduling';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { failureText } from '@zincring/core';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { ListenerContext } from '../listeners/httpListener.js';
import type { EngineTurnCounts } from '../upstreams/load/engineLoads.js';
import type { SlownessReport } from '../upstreams/load/slownessReports.js';
import type { GatewayPeer } from './gatewayPeer.js';
import type { RelayServer } from './relayServer.js';

import { HttpListener } from '../listeners/httpListener.js';
import {
  formatSlownessReports,
  parseBucket,
  parseDemand,
  parsePermitRequest,
  parseRateReport,
  parseSettlement,
} from './peerMessages.js';
import { PEER_PATHS, STATUS_UNKNOWN_PATH, STATUS_UNREADABLE } from './peerPaths.js';

/** Turns of this instance in flight at engines, which each reply carries. */
export interface EngineLoadSource {
  readonly ownCounts: EngineTurnCounts;
}

/** Measurements of replicas that other instances should know, which each reply carries. */
export interface SlownessSource {
  readonly ownReports: readonly SlownessReport[];
}

const noReports: SlownessSource = { ownReports: [] };

/** Use of the engines by workspace at this instance, which replies carry while the engines are busy. */
export interface WorkspaceTurnSource {
  readonly ownCounts: WorkspaceTurnCounts | undefined;
}

const idleEngines: EngineLoadSource = { ownCounts: {} };
const noWorkspaces: WorkspaceTurnSource = { ownCounts: undefined };
/** Time after which a connection without calls is closed, in milliseconds: a peer that is gone may never close it. */
const IDLE_TIMEOUT_MILLISECONDS = 60_000;
/** Time in which a message must arrive, in milliseconds: far longer than its sender waits. */
const MESSAGE_TIMEOUT_MILLISECONDS = 10_000;
/** Maximum size of a message, in bytes: far more than any of them has. */
const MAXIMUM_MESSAGE_BYTES = 16_384;
const knownPaths: ReadonlySet<string> = new Set(Object.values(PEER_PATHS));

/**
 * Serves the other instances: JSON over HTTP/1.1, and relayed requests.
 *
 * @example
 * await new PeerServer(self, context, relay).listen({ host: '10.1.0.11', port: 7780 });
 */
export class PeerServer {
  private readonly listener: HttpListener;

  public constructor(
    private readonly self: GatewayPeer,
    context: ListenerContext,
    relay: RelayServer,
    private readonly engineLoads: EngineLoadSource = idleEngines,
    private readonly slowness: SlownessSource = noReports,
    private readonly workspaceTurns: WorkspaceTurnSource = noWorkspaces,
  ) {
    this.listener = new HttpListener(
      {
        headMilliseconds: MESSAGE_TIMEOUT_MILLISECONDS,
        name: 'peers',
        silenceMilliseconds: MESSAGE_TIMEOUT_MILLISECONDS,
      },
      context,
      (request, response) => {
        this.handle(request, response).catch((failure: unknown) => {
          context.logger.info(
            { event: 'peer-call-failed', failure: failureText(failure) },
            'a call of another instance failed',
          );
          response.destroy();
        });
      },
    );
    this.listener.onExpectContinue((request, response) => {
      relay.handle(request, response);
    });
    this.listener.server.keepAliveTimeout = IDLE_TIMEOUT_MILLISECONDS;
  }

  /** Starts to listen; port 0 selects any free port. */
  public async listen(address: ListenAddress): Promise<void> {
    await this.listener.listen(address);
  }

  /** Port that the server listens on. */
  public get port(): number {
    return this.listener.port;
  }

  /** Stops listening and closes all connections. */
  public close(): void {
    this.listener.close();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await this.listener.readBody(request, response, MAXIMUM_MESSAGE_BYTES).read();
    const path = request.url ?? '';
    if (!knownPaths.has(path)) {
      endWithStatus(response, STATUS_UNKNOWN_PATH);
      return;
    }
    const reply = body.ok ? await this.answer(path, body.val.toString()) : undefined;
    if (reply === undefined) {
      endWithStatus(response, STATUS_UNREADABLE);
      return;
    }
    const content = JSON.stringify({
      ...reply,
      engineTurns: this.engineLoads.ownCounts,
      replicaSlowness: formatSlownessReports(this.slowness.ownReports),
      workspaceTurns: this.workspaceTurns.ownCounts,
    });
    response.writeHead(200, {
      'Content-Length': Buffer.byteLength(content),
      'Content-Type': 'application/json',
    });
    response.end(content);
  }

  /** Answers a message; `undefined` if it cannot be read. */
  private async answer(path: string, text: string): Promise<object | undefined> {
    switch (path) {
      case PEER_PATHS.acquireCredit: {
        const bucket = parseBucket(text);
        return bucket && (await this.self.acquireOwned(bucket));
      }
      case PEER_PATHS.acquirePermit: {
        const request = parsePermitRequest(text);
        return request && (await this.self.acquirePermit(request));
      }
      case PEER_PATHS.reportRate: {
        const report = parseRateReport(text);
        return report && { isRecorded: await this.self.reportRate(report) };
      }
      case PEER_PATHS.reserveTokens: {
        const demand = parseDemand(text);
        return demand && (await this.self.reserveOwned(demand));
      }
      case PEER_PATHS.settleTokens: {
        const settlement = parseSettlement(text);
        return (
          settlement && {
            isRecorded: await this.self.settleOwned(
              settlement.reservation,
              settlement.deliveredTokens,
            ),
          }
        );
      }
      default:
        return undefined;
    }
  }
}

function endWithStatus(response: ServerResponse, status: number): void {
  // The rest of a body that is too large is not read.
  if (!response.req.complete) {
    response.setHeader('Connection', 'close');
  }
  response.writeHead(status, { 'Content-Length': 0 });
  response.end();
}
