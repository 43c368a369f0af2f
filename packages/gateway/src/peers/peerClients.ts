import type { Client } from '@connectrpc/connect';
import type { Logger, TimerService } from '@zincring/core';
import type { AcquireCreditResponse, ReserveTokensResponse } from '@zincring/protocol';

import { failureText, RpcClients } from '@zincring/core';
import { CreditOutcome, GatewayPeerService, TokenOutcome } from '@zincring/protocol';

import type { NamedRateLimit } from '../limits/creditSource.js';
import type { OwnedCreditReply } from '../limits/ownedCredit.js';
import type { OwnedTokensReply, TurnDemand } from '../programs/tokenAccounts.js';
import type { GatewayPeer } from './gatewayPeer.js';

/** Timeout of a call to another instance, in milliseconds: longer than an owner waits for the store, shorter than callers notice. */
const CALL_TIMEOUT_MILLISECONDS = 150;
const callOptions = { timeoutMs: CALL_TIMEOUT_MILLISECONDS };

/**
 * Clients of the other instances. A call that fails or is not answered in time is a reply of kind
 * `unreachable`, or `false` for a settlement.
 *
 * @example
 * const reply = await clients.at('10.1.0.11:7780').acquireOwned(bucket);
 */
export class PeerClients {
  private readonly clients: RpcClients<typeof GatewayPeerService>;

  public constructor(
    timers: TimerService,
    private readonly logger: Logger,
  ) {
    this.clients = new RpcClients(GatewayPeerService, timers);
  }

  /** Returns the client of the instance at an address, such as `10.1.0.11:7780`. */
  public at(address: string): GatewayPeer {
    return {
      acquireOwned: async bucket => await this.acquireOwned(address, bucket),
      reserveOwned: async demand => await this.reserveOwned(address, demand),
      settleOwned: async (reservation, deliveredTokens) =>
        await this.settleOwned(address, reservation, deliveredTokens),
    };
  }

  /** Closes the connections to all other addresses. */
  public retain(addresses: ReadonlySet<string>): void {
    this.clients.retain(addresses);
  }

  /** Closes all connections. */
  public close(): void {
    this.clients.close();
  }

  private async acquireOwned(address: string, bucket: NamedRateLimit): Promise<OwnedCreditReply> {
    const response = await this.call(address, async client =>
      client.acquireCredit(
        {
          bucket: bucket.name,
          burst: bucket.burst,
          ratePerSecond: bucket.ratePerSecond,
          slackShare: bucket.slackShare ?? 1,
        },
        callOptions,
      ),
    );
    return response === undefined ? { kind: 'unreachable' } : toCreditReply(response);
  }

  private async reserveOwned(address: string, demand: TurnDemand): Promise<OwnedTokensReply> {
    const response = await this.call(address, async client =>
      client.reserveTokens(
        {
          ...demand,
          budget: BigInt(Math.floor(demand.budget)),
          expiresAt: BigInt(Math.floor(demand.expiresAt)),
          maximumTokens: BigInt(Math.floor(demand.maximumTokens)),
        },
        callOptions,
      ),
    );
    return response === undefined ? { kind: 'unreachable' } : toTokensReply(response);
  }

  private async settleOwned(
    address: string,
    reservation: string,
    deliveredTokens: number,
  ): Promise<boolean> {
    const response = await this.call(address, async client =>
      client.settleTokens(
        { deliveredTokens: BigInt(Math.floor(deliveredTokens)), reservation },
        callOptions,
      ),
    );
    return response !== undefined;
  }

  /** Calls an instance; returns `undefined` if it does not respond. */
  private async call<Response>(
    address: string,
    send: (client: Client<typeof GatewayPeerService>) => Promise<Response>,
  ): Promise<Response | undefined> {
    try {
      return await send(this.clients.at(address));
    } catch (failure) {
      this.logger.warn(
        { event: 'peer-failed', failure: failureText(failure), peer: address },
        'an instance did not answer; its connection is closed',
      );
      // A connection can be lost without notice, and then every call on it times out.
      this.clients.reset(address);
      return undefined;
    }
  }
}

function toCreditReply(response: AcquireCreditResponse): OwnedCreditReply {
  const { isOverRate, outcome, retryAfterMilliseconds } = response;
  switch (outcome) {
    case CreditOutcome.GRANTED:
      return { isOverRate, kind: 'granted' };
    case CreditOutcome.DENIED:
      return { isOverRate, kind: 'denied', retryAfterMilliseconds };
    case CreditOutcome.PENDING:
      return { isOverRate, kind: 'pending' };
    case CreditOutcome.UNKNOWN:
    case CreditOutcome.UNSPECIFIED:
      return { kind: 'without-store' };
  }
}

function toTokensReply({ outcome, startsProgram }: ReserveTokensResponse): OwnedTokensReply {
  switch (outcome) {
    case TokenOutcome.HELD:
      return { kind: 'held', startsProgram };
    case TokenOutcome.PENDING:
      return { kind: 'pending' };
    case TokenOutcome.SPENT:
      return { kind: 'spent' };
    case TokenOutcome.UNKNOWN:
    case TokenOutcome.UNSPECIFIED:
      return { kind: 'without-store' };
  }
}
