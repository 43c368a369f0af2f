import type { Logger } from '@zincring/core';
import type { WorkspaceTurnCounts } from '@zincring/scheduling';

import { failureText } from '@zincring/core';
import { HttpClient } from '@zincring/platform';

import type { OwnedCreditReply } from '../limits/ownedCredit.js';
import type { OwnedTokensReply } from '../programs/tokenAccounts.js';
import type { PermitReply } from '../upstreams/permits/permitOwner.js';
import type { EngineTurnCounts } from '../upstreams/load/engineLoads.js';
import type { SlownessReport } from '../upstreams/load/slownessReports.js';
import type { JsonFields } from '../util/jsonFields.js';
import type { GatewayPeer } from './gatewayPeer.js';
import type { ReplyCheck } from './peerReplies.js';

import { toFields } from '../util/jsonFields.js';
import { parseEngineTurns, parseSlownessReports, parseWorkspaceTurns } from './peerMessages.js';
import { PEER_PATHS } from './peerPaths.js';
import { isCreditReply, isPermitReply, isTokensReply } from './peerReplies.js';

/** Timeout of a call to another instance, in milliseconds: longer than an owner waits for the store, shorter than callers notice. */
const CALL_TIMEOUT_MILLISECONDS = 150;
/** Maximum size of a reply, in bytes: far more than any has. */
const MAXIMUM_REPLY_BYTES = 1024 * 1024;
const STATUS_OK = 200;

/**
 * Clients of the other instances. A call that fails or is not answered in time is a reply of kind
 * `unreachable`, or `false` for a settlement or a report.
 *
 * @example
 * const reply = await clients.at('10.1.0.11:7780').acquireOwned(bucket);
 */
export class PeerClients {
  private readonly clients = new Map<string, HttpClient>();

  public constructor(
    private readonly logger: Logger,
    /** Called with the turns that a responding instance has in flight at engines. */
    private readonly onEngineTurns: (counts: EngineTurnCounts) => void = () => undefined,
    /** Called with the measurements of replicas that a responding instance tells of. */
    private readonly onSlowness: (reports: readonly SlownessReport[]) => void = () => undefined,
    /** Called with the turns that it has in flight by workspace, if it tells them. */
    private readonly onWorkspaceTurns: (counts: WorkspaceTurnCounts) => void = () => undefined,
  ) {}

  /** Returns the client of the instance at an address, such as `10.1.0.11:7780`. */
  public at(address: string): GatewayPeer {
    return {
      acquireOwned: async bucket =>
        (await this.call<OwnedCreditReply>(
          address,
          PEER_PATHS.acquireCredit,
          bucket,
          isCreditReply,
        )) ?? {
          kind: 'unreachable',
        },
      acquirePermit: async request =>
        (await this.call<PermitReply>(
          address,
          PEER_PATHS.acquirePermit,
          request,
          isPermitReply,
        )) ?? {
          kind: 'unreachable',
        },
      reportRate: async report =>
        (await this.call(address, PEER_PATHS.reportRate, report)) !== undefined,
      reserveOwned: async demand =>
        (await this.call<OwnedTokensReply>(
          address,
          PEER_PATHS.reserveTokens,
          demand,
          isTokensReply,
        )) ?? {
          kind: 'unreachable',
        },
      settleOwned: async (reservation, deliveredTokens) => {
        const settlement = { deliveredTokens, reservation };
        return (await this.call(address, PEER_PATHS.settleTokens, settlement)) !== undefined;
      },
    };
  }

  /** Closes the connections to all other addresses. */
  public retain(addresses: ReadonlySet<string>): void {
    for (const [address, client] of this.clients) {
      if (!addresses.has(address)) {
        client.close();
        this.clients.delete(address);
      }
    }
  }

  /** Closes all connections. */
  public close(): void {
    this.retain(new Set());
  }

  /** Calls an instance; returns `undefined` if it does not respond or its reply is none. */
  private async call<Reply>(
    address: string,
    path: string,
    message: unknown,
    isReply: ReplyCheck = () => true,
  ): Promise<Reply | undefined> {
    const body = JSON.stringify(message);
    const response = await this.findOrAddClient(address).send({
      body,
      headers: {
        'Content-Length': String(Buffer.byteLength(body)),
        'Content-Type': 'application/json',
      },
      isRetrySafe: true,
      method: 'POST',
      path,
    });
    if (response.err) {
      this.logFailure(address, response.val.message);
      return undefined;
    }
    if (response.val.status !== STATUS_OK) {
      this.logFailure(address, `status ${String(response.val.status)}`);
      return undefined;
    }
    try {
      const reply = this.readReply(response.val.body.toString());
      if (isReply(reply)) {
        return reply as Reply;
      }
      this.logFailure(address, 'the reply cannot be read');
      return undefined;
    } catch (failure) {
      this.logFailure(address, failureText(failure));
      return undefined;
    }
  }

  private readReply(text: string): JsonFields {
    const fields = toFields(JSON.parse(text));
    const { engineTurns, replicaSlowness, workspaceTurns, ...reply } = fields;
    const counts = parseEngineTurns(engineTurns);
    if (counts !== undefined) {
      this.onEngineTurns(counts);
    }
    if (replicaSlowness !== undefined) {
      this.onSlowness(parseSlownessReports(replicaSlowness));
    }
    const workspaceCounts = parseWorkspaceTurns(workspaceTurns);
    if (workspaceCounts !== undefined) {
      this.onWorkspaceTurns(workspaceCounts);
    }
    return reply;
  }

  private findOrAddClient(address: string): HttpClient {
    const known = this.clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const client = new HttpClient({
      address,
      maximumResponseBytes: MAXIMUM_REPLY_BYTES,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
    this.clients.set(address, client);
    return client;
  }

  private logFailure(address: string, failure: string): void {
    this.logger.warn(
      { event: 'peer-failed', failure, peer: address },
      'an instance did not answer',
    );
  }
}
