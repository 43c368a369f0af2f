import type { Logger, TimerService } from '@zincring/core';
import type { ClientRequest, IncomingMessage } from 'node:http';

import { ResponseTurns, runExchange } from '@zincring/core';
import { Agent } from 'node:http';

import type { GatewayMetrics } from '../observation/gatewayMetrics.js';
import type { ReplicaEntry } from '../upstreams/replica.js';
import type {
  ExchangeOutcome,
  ReplicaRequest,
  UnansweredExchange,
} from '../upstreams/replicaExchange.js';
import type { RelayOutcome, ReplicaRelay } from '../upstreams/replicaTransport.js';
import type { RelayCandidates } from './relayCandidates.js';

import { buildResponse } from '../upstreams/replicaExchange.js';
import { withoutHeaders } from '../util/headerList.js';
import { isUnknownPath } from './peerPaths.js';
import {
  encodeRelayedRequest,
  makeRelayPath,
  readRelayOutcome,
  RELAY_OUTCOME_HEADER,
} from './relayProtocol.js';

/** Dependencies of a {@link RelayClient}. */
export interface RelayClientDependencies {
  readonly candidates: RelayCandidates;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

/** Whether another instance has accepted a request. */
interface Acceptance {
  isAccepted(): boolean;
  stop(): void;
}

/** Number of instances that are asked to relay one attempt. */
const MAXIMUM_ASKED = 4;
/** Time within which an instance must accept a request, in milliseconds: many round trips between instances. */
const ACCEPT_TIMEOUT_MILLISECONDS = 150;
/** Time in which instances are asked to relay one attempt, in milliseconds: the time left that the replica is told ages with it. */
const MAXIMUM_ASKING_MILLISECONDS = 300;
/** Idle time after which a connection to another instance is closed, in milliseconds. */
const IDLE_TIMEOUT_MILLISECONDS = 10_000;

/** Headers of a relayed response that are not the replica's. */
const relayHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  RELAY_OUTCOME_HEADER,
]);

/**
 * Sends attempts to replicas through other instances. An instance is only sent the request once it has accepted it:
 * until then another one can be asked, also for a request that may run only once.
 *
 * @example
 * const outcome = await relay.exchange(entry, request);
 */
export class RelayClient implements ReplicaRelay {
  private readonly agent = new Agent({ keepAlive: true, timeout: IDLE_TIMEOUT_MILLISECONDS });

  private readonly turns: ResponseTurns;

  public constructor(private readonly dependencies: RelayClientDependencies) {
    this.turns = new ResponseTurns(dependencies.timers);
  }

  public async exchange(entry: ReplicaEntry, request: ReplicaRequest): Promise<RelayOutcome> {
    const { candidates, logger, metrics, timers } = this.dependencies;
    const endsAt = timers.now() + MAXIMUM_ASKING_MILLISECONDS;
    let reason = 'no other instance is known';
    for (let asked = 0; asked < MAXIMUM_ASKED && timers.now() < endsAt; asked++) {
      const address = candidates.choose(request.permittedRegions);
      if (address === undefined || request.signal.aborted) {
        break;
      }
      const outcome = await this.exchangeThrough(address, entry, request);
      metrics.relays.inc({ outcome: outcome.kind });
      if (outcome.kind !== 'unavailable') {
        candidates.recordSuccess(address);
        return outcome;
      }
      candidates.recordFailure(address);
      reason = outcome.reason;
      logger.info(
        { event: 'relay-unavailable', peer: address, reason, replica: entry.id },
        'an instance cannot relay a request',
      );
    }
    return { kind: 'unavailable', reason };
  }

  /** Closes all connections to other instances. */
  public close(): void {
    this.agent.destroy();
  }

  private async exchangeThrough(
    address: string,
    entry: ReplicaEntry,
    request: ReplicaRequest,
  ): Promise<RelayOutcome> {
    const { body = Buffer.alloc(0), headers, isRepeatable, method, path } = request;
    const content = encodeRelayedRequest({ body, headers, isRepeatable, method, path });
    const [host, port] = address.split(':');
    const options = {
      agent: this.agent,
      headers: { 'Content-Length': content.length, Expect: '100-continue' },
      host,
      method: 'POST',
      path: makeRelayPath(entry.runId),
      port,
      signal: request.signal,
    };
    let acceptance: Acceptance | undefined;
    return await runExchange<RelayOutcome>(
      options,
      {
        onFailure: ({ message: reason }) => {
          acceptance?.stop();
          return acceptance?.isAccepted() === true
            ? { isPathFault: true, kind: 'lost', reason }
            : { kind: 'unavailable', reason };
        },
        onResponse: (outgoing, incoming) => {
          acceptance?.stop();
          return readOutcome(request.method, outgoing, incoming);
        },
        onStarted: outgoing => {
          acceptance = this.awaitAcceptance(outgoing, content);
          outgoing.flushHeaders();
        },
      },
      { turns: this.turns },
    );
  }

  /** Sends the content once the other instance has accepted it, and fails if it does not in time. */
  private awaitAcceptance(outgoing: ClientRequest, content: Buffer): Acceptance {
    let isAccepted = false;
    const timeout = this.dependencies.timers.after(ACCEPT_TIMEOUT_MILLISECONDS, () => {
      outgoing.destroy(new Error('the instance did not accept the request in time'));
    });
    outgoing.on('continue', () => {
      timeout.stop();
      isAccepted = true;
      outgoing.end(content);
    });
    return {
      isAccepted: () => isAccepted,
      stop: () => {
        timeout.stop();
      },
    };
  }
}

function readOutcome(
  method: string,
  outgoing: ClientRequest,
  incoming: IncomingMessage,
): RelayOutcome {
  const header = incoming.headers[RELAY_OUTCOME_HEADER];
  if (header === undefined && isUnknownPath(incoming.statusCode)) {
    outgoing.destroy();
    return { kind: 'unavailable', reason: 'its build relays no requests' };
  }
  const outcome = readRelayOutcome(typeof header === 'string' ? header : '');
  if (outcome.kind === 'answered') {
    const response = buildResponse(outgoing, incoming);
    return {
      kind: 'answered',
      response: {
        ...response,
        framing: method === 'HEAD' ? 'length' : outcome.framing,
        headers: withoutHeaders(incoming.rawHeaders, relayHeaders),
      },
    };
  }
  // The content may not have been sent, so the connection cannot be used again.
  outgoing.destroy();
  return outcome.kind === 'unavailable'
    ? { kind: outcome.kind, reason: outcome.reason }
    : toExchangeOutcome(outcome.kind, outcome.reason);
}

function toExchangeOutcome(kind: UnansweredExchange['kind'], reason: string): ExchangeOutcome {
  return { isPathFault: false, kind, reason: `relayed: ${reason}` };
}
