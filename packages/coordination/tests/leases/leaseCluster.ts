import type { IncarnationId, ShardId } from '@zincring/core';

import { silentLogger, sleep } from '@zincring/core';

import type { ShardLease, ShardStateReference } from '../../src/index.js';
import type { SharedPlatform } from './pausableNode.js';

import { preferredHolder, ShardLeases } from '../../src/index.js';
import { createSharedPlatform, deliverLateWrites, PausableNode } from './pausableNode.js';

export const terms = { marginMilliseconds: 500, renewMilliseconds: 1_000, termMilliseconds: 5_000 };
export const SHARD_COUNT = 8;
const STEP_MILLISECONDS = 50;
const LATE_MILLISECONDS = 500;

/** One instance that holds shards and whose owner records what it is asked. */
export class LeaseNode extends PausableNode {
  public readonly leases: ShardLeases;
  public recoveryMilliseconds = 0;
  public failingRecoveries = 0;
  public failingHandOvers = 0;
  private incarnations = 0;

  public constructor(
    shared: SharedPlatform,
    public readonly name: string,
    /** Which instances this one believes to be eligible. */
    public eligible: ReadonlySet<string>,
    clockRate: number,
  ) {
    super(shared, clockRate);
    this.leases = new ShardLeases({
      address: '127.0.0.1:1',
      createIncarnation: () => `${name}.${String(this.incarnations++)}` as IncarnationId,
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
    if (this.failingRecoveries > 0) {
      this.failingRecoveries--;
      throw new Error('the store is out');
    }
    return { ...state, snapshot: `${this.name}/${String(lease.epoch)}` };
  }

  private async handOver(lease: ShardLease): Promise<ShardStateReference> {
    await sleep(this.timers, this.recoveryMilliseconds);
    if (this.failingHandOvers > 0) {
      this.failingHandOvers--;
      throw new Error('the store is out');
    }
    return { log: null, snapshot: `${this.name}/${String(lease.epoch)}/released` };
  }
}

/** Several instances over one table. */
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

  /** Kills an instance and starts one of another name in its place. */
  public replace(index: number): void {
    this.nodes[index]?.kill();
    this.start(index);
    this.healMembership();
  }

  /** Every instance sees all of them. */
  public healMembership(): void {
    for (const node of this.nodes) {
      node.eligible = new Set(this.names);
    }
  }

  /** Lets time pass everywhere and checks all the while that no shard has two holders. */
  public async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      if (passed % LATE_MILLISECONDS === 0) {
        deliverLateWrites(this.platform);
      }
      for (const node of this.nodes) {
        await node.advance(STEP_MILLISECONDS);
        this.check();
      }
    }
  }

  /** Throws when two instances act for one shard. */
  public check(): void {
    for (let number = 0; number < SHARD_COUNT; number++) {
      const holders = this.holdersOf(number as ShardId);
      if (holders.length > 1) {
        throw new Error(`shard ${String(number)} is held by ${holders.join(' and ')}`);
      }
    }
  }

  /** The instances that act for a shard. */
  public holdersOf(shard: ShardId): readonly string[] {
    return this.nodes
      .filter(node => !node.isDead)
      .filter(node => ['held', 'releasing'].includes(node.leases.standing(shard)))
      .map(node => node.name);
  }

  /** Whether every shard is held by the instance that should hold it. */
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
