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

/** What an instance tells of itself. */
export interface SelfDescription {
  readonly id: InstanceId;
  readonly address: string;
  readonly zone: AvailabilityZone;
  readonly incarnation: IncarnationId;
  readonly isLeaving: boolean;
}

/** What heartbeats need. */
export interface HeartbeatsOptions {
  readonly membership: Membership;
  readonly participants: readonly GossipParticipant[];
  readonly clients: PeerClients;
  readonly directory: InstanceDirectory;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly intervalMilliseconds: number;
  readonly describeSelf: () => SelfDescription;
  /** Called with the platform's list whenever it was read. */
  readonly onDirectory: (entries: Parameters<Membership['updateFromDirectory']>[0]) => void;
}

/** Tells the peers of this instance and learns of them. */
export class Heartbeats {
  private readonly subscriptions: TimerSubscription[] = [];

  public constructor(private readonly options: HeartbeatsOptions) {}

  /** Begins to send heartbeats. */
  public start(): void {
    const { intervalMilliseconds, timers } = this.options;
    this.subscriptions.push(
      timers.every(intervalMilliseconds, () => {
        this.beat();
      }),
    );
    this.beat();
  }

  /** Stops sending heartbeats. */
  public stop(): void {
    this.subscriptions.forEach(subscription => {
      subscription.stop();
    });
  }

  /** Sends one round of heartbeats at once, to spread news. */
  public beat(): void {
    this.readDirectory().catch((failure: unknown) => {
      this.options.logger.warn({ failure: failureText(failure) }, 'instance list not read');
    });
    for (const peer of this.options.membership.known) {
      this.exchangeWith(peer.address).catch((failure: unknown) => {
        this.options.logger.debug({ failure: failureText(failure), peer: peer.id }, 'peer silent');
      });
    }
  }

  /** Tells every peer the news; settles when all have answered or been given up. */
  public async spread(): Promise<void> {
    const { known } = this.options.membership;
    await Promise.allSettled(known.map(async peer => this.exchangeWith(peer.address)));
  }

  /** Answers a heartbeat of another instance. */
  public answer(request: ExchangeRequest): Omit<ExchangeResponse, '$typeName' | '$unknown'> {
    this.hear(request);
    return this.describe();
  }

  private async readDirectory(): Promise<void> {
    const entries = await this.options.directory.list();
    if (entries.ok) {
      this.options.membership.updateFromDirectory(entries.val);
      this.options.onDirectory(entries.val);
    }
  }

  private async exchangeWith(address: string): Promise<void> {
    const response = await this.options.clients
      .at(address)
      .exchange(this.describe(), { timeoutMs: this.options.intervalMilliseconds * 2 });
    this.hear({ ...response, address });
  }

  private describe(): {
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
        const value = participant.tell();
        return value === undefined
          ? []
          : [create(GossipItemSchema, { key: participant.key, value })];
      }),
      leaving: self.isLeaving,
      zone: self.zone,
    };
  }

  private hear(
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
        ?.hear(id, item.value);
    }
  }
}
