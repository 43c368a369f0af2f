import type { Logger } from '@zincring/core';
import type { WorkspaceTurnCounts } from '@zincring/scheduling';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { failureText } from '@zincring/core';
import { createServer } from 'node:http';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { EngineTurnCounts } from '../upstreams/load/engineLoads.js';
import type { SlownessReport } from '../upstreams/load/slownessReports.js';
import type { GatewayPeer } from './gatewayPeer.js';
import type { RelayServer } from './relayServer.js';

import { readBoundedBody } from '../util/readBoundedBody.js';
import { getPort, listenOn } from '../util/listen.js';
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
/** Maximum size of a message, in bytes: far more than any of them has. */
const MAXIMUM_MESSAGE_BYTES = 16_384;
const knownPaths: ReadonlySet<string> = new Set(Object.values(PEER_PATHS));

/**
 * Serves the other instances: JSON over HTTP/1.1, and relayed requests.
 *
 * @example
 * await new PeerServer(self, logger, relay).listen({ host: '10.1.0.11', port: 7780 });
 */
export class PeerServer {
  private readonly server: Server;

  public constructor(
    private readonly self: GatewayPeer,
    private readonly logger: Logger,
    relay: RelayServer,
    private readonly engineLoads: EngineLoadSource = idleEngines,
    private readonly slowness: SlownessSource = noReports,
    private readonly workspaceTurns: WorkspaceTurnSource = noWorkspaces,
  ) {
    this.server = createServer({ keepAlive: true, noDelay: true }, (request, response) => {
      this.handle(request, response).catch((failure: unknown) => {
        this.logger.info(
          { event: 'peer-call-failed', failure: failureText(failure) },
          'a call of another instance failed',
        );
        response.destroy();
      });
    });
    this.server.on('checkContinue', (request, response) => {
      relay.handle(request, response);
    });
    this.server.keepAliveTimeout = IDLE_TIMEOUT_MILLISECONDS;
  }

  /** Starts to listen; port 0 selects any free port. */
  public async listen(address: ListenAddress): Promise<void> {
    await listenOn(this.server, address);
  }

  /** Port that the server listens on. */
  public get port(): number {
    return getPort(this.server);
  }

  /** Stops listening and closes all connections. */
  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBoundedBody(request, MAXIMUM_MESSAGE_BYTES);
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
  response.writeHead(status, { 'Content-Length': 0 });
  response.end();
}
