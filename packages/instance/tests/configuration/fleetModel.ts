import type { InstanceId, Result } from '@zincring/core';
import type { Update, UpdateRequest } from '@zincring/coordination';
import type {
  ConfigurationSource,
  SourceFailure,
} from '../../src/configuration/configurationSource.js';

import { VersionedChanges } from '@zincring/coordination';
import { discardingMetrics, Err, ManualTimerService, Ok, silentLogger } from '@zincring/core';
import {
  FaultSwitch,
  MemoryObjects,
  MemoryObjectStore,
  MemoryTable,
  MemoryTableService,
} from '@zincring/stand-ins';

import { ConfigurationFreshness } from '../../src/configuration/configurationFreshness.js';
import { ConfigurationFollower } from '../../src/configuration/configurationFollower.js';
import { ConfigurationGossip } from '../../src/configuration/configurationGossip.js';
import { StoreConfigurationSource } from '../../src/configuration/storeConfigurationSource.js';

const HEARTBEAT_MILLISECONDS = 500;
export const POLL_MILLISECONDS = 1_000;
export const CONTACT_MILLISECONDS = 4_000;

/** One instance: its configuration follower with its connections to the store and to its peers. */
export class ModelInstance {
  public readonly id: InstanceId;
  public readonly faults: FaultSwitch;
  public isRunning = true;
  /** Whether its reads of the configuration from peers succeed. */
  public canReadFromPeers = true;
  /** Number of the network partition; instances in different partitions cannot reach each other. */
  public group = 0;
  public follower: ConfigurationFollower;
  private gossip: ConfigurationGossip;

  public constructor(
    private readonly fleet: FleetModel,
    index: number,
  ) {
    this.id = `entry-${index + 1}` as InstanceId;
    this.faults = new FaultSwitch(fleet.timers);
    this.follower = this.createFollower();
    this.gossip = new ConfigurationGossip(this.follower);
    this.follower.start();
  }

  /** Stops the follower and starts another one without any state. */
  public restart(): void {
    this.follower.stop();
    this.follower = this.createFollower();
    this.gossip = new ConfigurationGossip(this.follower);
    this.isRunning = true;
    this.follower.start();
  }

  /** Stops the follower until the next restart. */
  public crash(): void {
    this.follower.stop();
    this.isRunning = false;
  }

  public canReach(other: ModelInstance): boolean {
    return this.isRunning && other.isRunning && this.group === other.group;
  }

  /** Exchanges heartbeats with a peer. */
  public exchange(other: ModelInstance): void {
    const request = this.gossip.createUpdate();
    const response = other.gossip.createUpdate();
    other.gossip.applyUpdate(this.id, request);
    this.gossip.applyUpdate(other.id, response);
  }

  private createFollower(): ConfigurationFollower {
    const { fleet } = this;
    return new ConfigurationFollower({
      freshness: new ConfigurationFreshness({
        contactMilliseconds: CONTACT_MILLISECONDS,
        listOtherInstances: () => fleet.instances.filter(each => each !== this).map(({ id }) => id),
        timers: fleet.timers,
      }),
      logger: silentLogger,
      metrics: discardingMetrics,
      findPeerSource: id => this.createPeerSource(id),
      pollMilliseconds: POLL_MILLISECONDS,
      store: new StoreConfigurationSource(fleet.createChanges(this.faults)),
      timers: fleet.timers,
    });
  }

  private createPeerSource(id: InstanceId): ConfigurationSource {
    return {
      read: async ({ after }: UpdateRequest): Promise<Result<Update, SourceFailure>> => {
        const peer = this.fleet.instances.find(each => each.id === id);
        const isReachable = peer !== undefined && this.canReadFromPeers && this.canReach(peer);
        return await Promise.resolve(
          isReachable ? Ok(peer.follower.getUpdateAfter(after)) : Err({ message: 'not reached' }),
        );
      },
    };
  }
}

/** Simulates instances that follow one store, on manual time. */
export class FleetModel {
  public readonly timers = new ManualTimerService();
  private readonly table = new MemoryTable();
  private readonly objects = new MemoryObjects();
  public readonly instances: ModelInstance[] = [];
  public readonly operatorFaults = new FaultSwitch(this.timers);
  public readonly operator = this.createChanges(this.operatorFaults);

  public constructor(count: number) {
    for (let index = 0; index < count; index++) {
      this.instances.push(new ModelInstance(this, index));
    }
    this.timers.every(HEARTBEAT_MILLISECONDS, () => {
      this.exchangeHeartbeats();
    });
  }

  public createChanges(faults: FaultSwitch): VersionedChanges {
    return new VersionedChanges({
      name: 'configuration',
      objects: new MemoryObjectStore(this.objects, faults),
      table: new MemoryTableService(this.table, faults),
      timers: this.timers,
    });
  }

  /** Writes a change as an operator; returns its version, or `undefined` if it was not confirmed. */
  public async accept(
    changeId: string,
    added: readonly string[],
    removed: readonly string[] = [],
  ): Promise<number | undefined> {
    const head = await this.operator.readHead();
    if (head.err) {
      return undefined;
    }
    const origin = { at: 0, changeId, reason: 'why', requester: 'who' };
    const outcome = await this.operator.accept(head.val, { ...origin, added, removed }, []);
    return outcome.ok && outcome.val.status === 'accepted' ? outcome.val.version : undefined;
  }

  private exchangeHeartbeats(): void {
    for (const [index, instance] of this.instances.entries()) {
      for (const other of this.instances.slice(index + 1)) {
        if (instance.canReach(other)) {
          instance.exchange(other);
        }
      }
    }
  }
}
