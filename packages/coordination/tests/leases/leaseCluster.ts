import type { IncarnationId, ShardId } from '@zincring/core';

import { silentLogger, sleep } from '@zincring/core';

import type { ShardLease, ShardStateReference } from '../../src/index.js';
import type { SharedPlatform } from './pausableNode.js';

import { preferredHolder, ShardLeases } from '../../src/index.js';
import { createSharedPlatform, deliverLateWrites, PausableNode } from './pausableNode.js';

export const terms = { marginMilliseconds: 500, renewMilliseconds: 1_000, termMilliseconds: 5_000 };
export const SHARD_COUNT = 8;
const STEP_MILLISECONDS = 50;
const LATE_DELIVERY_INTERVAL_MILLISECONDS = 500;

/** An instance that holds shards and whose recoveries and handovers can be slowed down or fail. */
export class LeaseNode extends PausableNode {
  public readonly leases: ShardLeases;
  public recoveryMilliseconds = 0;
  public remainingRecoveryFailures = 0;
  public remainingHandoverFailures = 0;
  private incarnationCount = 0;

  public constructor(
    shared: SharedPlatform,
    public readonly name: string,
    /** Instances that this one considers eligible. */
    public eligible: ReadonlySet<string>,
    clockRate: number,
  ) {
    super(shared, clockRate);
    this.leases = new ShardLeases({
      address: '127.0.0.1:1',
      createIncarnation: () => `${name}.${String(this.incarnationCount++)}` as IncarnationId,
      instance: name,
      logger: silentLogger,
      members: { eligible: () => this.eligible },
      owner: {
        drop: () => undefined,
        handOver: async lease => this.handOver(lease),
        recover: async (lease, state) => this.recover(lease, state),
      },
      shardCount: SHARD_COUNT,
      table: this.table,
      terms,
      timers: this.timers,
    });
    this.timers.every(terms.renewMilliseconds, () => void this.leases.tick());
  }

  private async recover(
    lease: ShardLease,
    state: ShardStateReference,
  ): Promise<ShardStateReference> {
    await sleep(this.timers, this.recoveryMilliseconds);
    if (this.remainingRecoveryFailures > 0) {
      this.remainingRecoveryFailures--;
      throw new Error('the store is unavailable');
    }
    return { ...state, snapshot: `${this.name}/${String(lease.epoch)}` };
  }

  private async handOver(lease: ShardLease): Promise<ShardStateReference> {
    await sleep(this.timers, this.recoveryMilliseconds);
    if (this.remainingHandoverFailures > 0) {
      this.remainingHandoverFailures--;
      throw new Error('the store is unavailable');
    }
    return { log: null, snapshot: `${this.name}/${String(lease.epoch)}/released` };
  }
}

/** Several instances that share one table. */
export class LeaseCluster {
  public readonly platform = createSharedPlatform();
  public readonly nodes: LeaseNode[] = [];
  private generation = 0;

  public constructor(private readonly clockRates: readonly number[]) {
    clockRates.forEach((_, index) => {
      this.start(index);
    });
  }

  public get names(): readonly string[] {
    return this.nodes.map(node => node.name);
  }

  /** Kills an instance and starts one with a new name in its place. */
  public replace(index: number): void {
    this.nodes[index]?.kill();
    this.start(index);
    this.healMembership();
  }

  /** Makes every instance consider all instances eligible. */
  public healMembership(): void {
    for (const node of this.nodes) {
      node.eligible = new Set(this.names);
    }
  }

  /** Advances all clocks in small steps and checks after each that no shard has two holders. */
  public async advance(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      if (elapsed % LATE_DELIVERY_INTERVAL_MILLISECONDS === 0) {
        deliverLateWrites(this.platform);
      }
      for (const node of this.nodes) {
        await node.advance(STEP_MILLISECONDS);
        this.check();
      }
    }
  }

  /** Throws when two instances serve the same shard. */
  public check(): void {
    for (let shardNumber = 0; shardNumber < SHARD_COUNT; shardNumber++) {
      const holders = this.holdersOf(shardNumber as ShardId);
      if (holders.length > 1) {
        throw new Error(`shard ${String(shardNumber)} is held by ${holders.join(' and ')}`);
      }
    }
  }

  /** Names of the instances that serve a shard. */
  public holdersOf(shard: ShardId): readonly string[] {
    return this.nodes
      .filter(node => !node.isKilled)
      .filter(node => ['held', 'releasing'].includes(node.leases.status(shard)))
      .map(node => node.name);
  }

  /** Whether every shard is held by its preferred instance and by no other. */
  public get isSettled(): boolean {
    return Array.from({ length: SHARD_COUNT }, (_, shard) => shard as ShardId).every(shard => {
      const [holder, ...others] = this.holdersOf(shard);
      return others.length === 0 && holder === preferredHolder(shard, this.names);
    });
  }

  private start(index: number): void {
    const name = `entry-${String(index)}-${String(this.generation++)}`;
    const rate = this.clockRates[index] ?? 1;
    this.nodes[index] = new LeaseNode(this.platform, name, new Set([name]), rate);
  }
}
