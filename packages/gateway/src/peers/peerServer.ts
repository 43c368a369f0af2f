import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Logger } from '@zincring/core';
import type { AcquireCreditResponseSchema, ReserveTokensResponseSchema } from '@zincring/protocol';
import type { Http2Server, ServerHttp2Session } from 'node:http2';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import { failureText } from '@zincring/core';
import { CreditOutcome, GatewayPeerService, TokenOutcome } from '@zincring/protocol';
import { createServer } from 'node:http2';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { OwnedCreditReply } from '../limits/ownedCredit.js';
import type { OwnedTokensReply } from '../programs/tokenAccounts.js';
import type { GatewayPeer } from './gatewayPeer.js';

import { getPort, listenOn } from '../util/listen.js';

/** Time after which a connection without calls is closed, in milliseconds: a peer that is gone may never close it. */
const IDLE_TIMEOUT_MILLISECONDS = 60_000;

/**
 * Serves the other instances over HTTP/2.
 *
 * @example
 * await new PeerServer(self, logger).listen({ host: '10.1.0.11', port: 7780 });
 */
export class PeerServer {
  private readonly server: Http2Server;
  private readonly sessions = new Set<ServerHttp2Session>();

  public constructor(self: GatewayPeer, logger: Logger) {
    this.server = createServer(
      connectNodeAdapter({
        routes: router => {
          router.service(GatewayPeerService, {
            acquireCredit: async ({ bucket, burst, ratePerSecond, slackShare }) =>
              toCreditResponse(
                await self.acquireOwned({ burst, name: bucket, ratePerSecond, slackShare }),
              ),
            reserveTokens: async message =>
              toTokensResponse(
                await self.reserveOwned({
                  budget: Number(message.budget),
                  expiresAt: Number(message.expiresAt),
                  hasEarlierTurns: message.hasEarlierTurns,
                  maximumTokens: Number(message.maximumTokens),
                  program: message.program,
                  reservation: message.reservation,
                }),
              ),
            settleTokens: async ({ deliveredTokens, reservation }) => {
              await self.settleOwned(reservation, Number(deliveredTokens));
              return {};
            },
          });
        },
      }),
    );
    this.server.setTimeout(IDLE_TIMEOUT_MILLISECONDS);
    this.server.on('timeout', () => undefined);
    this.server.on('session', session => {
      this.sessions.add(session);
      session.once('close', () => this.sessions.delete(session));
      session.on('timeout', () => {
        session.close();
      });
    });
    this.server.on('sessionError', (failure: Error) => {
      logger.info(
        { event: 'peer-connection-failed', failure: failureText(failure) },
        'a connection of another instance failed',
      );
    });
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
    this.sessions.forEach(session => {
      session.close();
    });
  }
}

function toCreditResponse(
  reply: OwnedCreditReply,
): MessageInitShape<typeof AcquireCreditResponseSchema> {
  switch (reply.kind) {
    case 'denied':
      return {
        isOverRate: reply.isOverRate,
        outcome: CreditOutcome.DENIED,
        retryAfterMilliseconds: reply.retryAfterMilliseconds,
      };
    case 'granted':
      return { isOverRate: reply.isOverRate, outcome: CreditOutcome.GRANTED };
    case 'pending':
      return { isOverRate: reply.isOverRate, outcome: CreditOutcome.PENDING };
    case 'unreachable':
    case 'without-store':
      return { outcome: CreditOutcome.UNKNOWN };
  }
}

function toTokensResponse(
  reply: OwnedTokensReply,
): MessageInitShape<typeof ReserveTokensResponseSchema> {
  switch (reply.kind) {
    case 'held':
      return { outcome: TokenOutcome.HELD, startsProgram: reply.startsProgram };
    case 'pending':
      return { outcome: TokenOutcome.PENDING };
    case 'spent':
      return { outcome: TokenOutcome.SPENT };
    case 'unreachable':
    case 'without-store':
      return { outcome: TokenOutcome.UNKNOWN };
  }
}
