import type {
  AvailabilityZone,
  IncarnationId,
  InstanceId,
  Logger,
  TimerService,
  TimerSubscription,
} from '@zincring/core';
import type { Membership } from '@zincring/coordination';
import type { InstanceDirectory } from '@zincring/platform';
import type { ExchangeRequest, ExchangeResponse } from '@zincring/protocol';

import { create } from '@bufbuild/protobuf';
import { failureText } from '@zincring/core';
import { GossipItemSchema } from '@zincring/protocol';

import type { PeerClients } from './peerClients.js';
import type { GossipParticipant } from './gossipParticipant.js';

/** Description of this instance that its heartbeats contain. */
export interface SelfDescription {
  readonly id: InstanceId;
  readonly address: string;
  readonly zone: AvailabilityZone;
  readonly incarnation: IncarnationId;
  readonly isLeaving: boolean;
}

/** Dependencies of {@link Heartbeats}. */
export interface HeartbeatsOptions {
  readonly membership: Membership;
  readonly participants: readonly GossipParticipant[];
  readonly clients: PeerClients;
  readonly directory: InstanceDirectory;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly intervalMilliseconds: number;
  readonly describeSelf: () => SelfDescription;
  /** Called with the platform's list of instances each time it has been read. */
  readonly onDirectoryRead: (entries: Parameters<Membership['updateFromDirectory']>[0]) => void;
}

/** Exchanges periodic heartbeats with the peers, and the gossip of the participants with them. */
export class Heartbeats {
  private readonly subscriptions: TimerSubscription[] = [];

  public constructor(private readonly options: HeartbeatsOptions) {}

  /** Starts sending heartbeats. */
  public start(): void {
    const { intervalMilliseconds, timers } = this.options;
    this.subscriptions.push(
      timers.every(intervalMilliseconds, () => {
        this.sendHeartbeats();
      }),
    );
    this.sendHeartbeats();
  }

  /** Stops sending heartbeats. */
  public stop(): void {
    this.subscriptions.forEach(subscription => {
      subscription.stop();
    });
  }

  /** Sends a heartbeat to every peer immediately, without waiting for the responses. */
  public sendHeartbeats(): void {
    this.readDirectory().catch((failure: unknown) => {
      this.options.logger.warn(
        { failure: failureText(failure) },
        'instance list could not be read',
      );
    });
    for (const peer of this.options.membership.known) {
      this.exchangeWith(peer.address).catch((failure: unknown) => {
        this.options.logger.debug(
          { failure: failureText(failure), peer: peer.id },
          'peer did not answer the heartbeat',
        );
      });
    }
  }

  /** Sends a heartbeat to every peer; resolves once each has responded or failed. */
  public async exchangeWithPeers(): Promise<void> {
    const { known } = this.options.membership;
    await Promise.allSettled(known.map(async peer => this.exchangeWith(peer.address)));
  }

  /** Applies the heartbeat of another instance and returns the one of this instance. */
  public handleHeartbeat(
    request: ExchangeRequest,
  ): Omit<ExchangeResponse, '$typeName' | '$unknown'> {
    this.applyHeartbeat(request);
    return this.createHeartbeat();
  }

  private async readDirectory(): Promise<void> {
    const entries = await this.options.directory.list();
    if (entries.ok) {
      this.options.membership.updateFromDirectory(entries.val);
      this.options.onDirectoryRead(entries.val);
    }
  }

  private async exchangeWith(address: string): Promise<void> {
    const response = await this.options.clients
      .at(address)
      .exchange(this.createHeartbeat(), { timeoutMs: this.options.intervalMilliseconds * 2 });
    this.applyHeartbeat({ ...response, address });
  }

  private createHeartbeat(): {
    instance: string;
    incarnation: string;
    address: string;
    zone: string;
    leaving: boolean;
    items: ExchangeResponse['items'];
  } {
    const self = this.options.describeSelf();
    return {
      address: self.address,
      incarnation: self.incarnation,
      instance: self.id,
      items: this.options.participants.flatMap(participant => {
        const value = participant.createUpdate();
        return value === undefined
          ? []
          : [create(GossipItemSchema, { key: participant.key, value })];
      }),
      leaving: self.isLeaving,
      zone: self.zone,
    };
  }

  private applyHeartbeat(
    message: Pick<ExchangeRequest, 'address' | 'incarnation' | 'instance' | 'items' | 'leaving'> & {
      readonly zone?: string;
    },
  ): void {
    const id = message.instance as InstanceId;
    const known = this.options.membership.known.find(peer => peer.id === id);
    this.options.membership.recordHeartbeat({
      address: message.address,
      id,
      incarnation: message.incarnation as IncarnationId,
      isLeaving: message.leaving,
      zone: (message.zone ?? known?.zone ?? '') as AvailabilityZone,
    });
    for (const item of message.items) {
      this.options.participants
        .find(participant => participant.key === item.key)
        ?.applyUpdate(id, item.value);
    }
  }
}
