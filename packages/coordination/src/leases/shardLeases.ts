import type { Epoch, IncarnationId, Logger, Result, ShardId, TimerService } from '@zincring/core';
import type { Row, TableService } from '@zincring/platform';

import { Err, failureText, Ok } from '@zincring/core';

import type { LeaseTerms } from './session.js';
import type { ShardRow, ShardStateReference } from './leaseRows.js';

import { preferredHolder } from '../shards/shardMap.js';
import { parseShardRow, sessionRowKey, shardRowKey } from './leaseRows.js';
import { Session } from './session.js';
import { SessionObserver } from './sessionObserver.js';

/**
 * How an instance stands to a shard: `held` by a running lease; `lapsed`, held until the term ran
 * out and not known to be taken by another; `recovering`, taken but not yet replayed; `none`.
 */
export type ShardStanding = 'held' | 'lapsed' | 'none' | 'recovering';

/** What the owner of the leases does when shards come and go. */
export interface ShardOwner {
  /**
   * Restores the state of a shard that was taken.
   *
   * @returns where the state stands from now on
   */
  recover(shard: ShardId, epoch: Epoch, state: ShardStateReference): Promise<ShardStateReference>;
  /**
   * Finishes the running work of a shard before it is released.
   *
   * @returns where the state stands for the next holder
   */
  handOver(shard: ShardId): Promise<ShardStateReference>;
  /** Drops a shard that another holder has, or may have, taken. */
  drop(shard: ShardId): void;
}

/** Who takes part: instances that should hold shards. */
export interface ShardMembers {
  /** Names of the instances that are alive and not leaving, oneself included while not leaving. */
  eligible(): ReadonlySet<string>;
}

/** What shard leases need. */
export interface ShardLeasesOptions {
  readonly table: TableService;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly terms: LeaseTerms;
  readonly shardCount: number;
  readonly instance: string;
  readonly address: string;
  readonly members: ShardMembers;
  readonly owner: ShardOwner;
  /** Makes the name of a new incarnation. */
  readonly createIncarnation: () => IncarnationId;
}

interface HeldShard {
  readonly epoch: Epoch;
  rowVersion: number;
  state: ShardStateReference;
  phase: 'active' | 'recovering' | 'releasing';
}

/** A row of a shard with its version. */
interface ReadShard {
  readonly shard: ShardId;
  readonly row: ShardRow;
  readonly rowVersion: number;
}

/** Most shards that are taken in one transaction. */
const SHARDS_PER_TRANSACTION = 32;

/**
 * Leases on shards: rendezvous hashing says who should try, the compare-and-set of the row says
 * who does. Call {@link ShardLeases.tick} every renewal interval.
 */
export class ShardLeases {
  private session: Session;
  private readonly observer: SessionObserver;
  private readonly held = new Map<ShardId, HeldShard>();
  private isRebalancing = false;
  private isStopping = false;

  public constructor(private readonly options: ShardLeasesOptions) {
    this.session = this.openSession();
    this.observer = new SessionObserver(options.timers, options.terms.termMilliseconds);
  }

  /** The running incarnation; a new one begins when the session was lost. */
  public get incarnation(): IncarnationId {
    return this.session.incarnation;
  }

  /** Shards held or lapsed, in no order. */
  public get heldShards(): readonly ShardId[] {
    return [...this.held.keys()];
  }

  /** How this instance stands to a shard. To be asked again after every wait. */
  public standing(shard: ShardId): ShardStanding {
    const held = this.held.get(shard);
    if (held === undefined || held.phase === 'releasing') {
      return 'none';
    }
    if (held.phase === 'recovering') {
      return 'recovering';
    }
    return this.session.isValid ? 'held' : 'lapsed';
  }

  /** The fencing number under which a shard is held. */
  public epochOf(shard: ShardId): Epoch | undefined {
    return this.held.get(shard)?.epoch;
  }

  /** Renews the session, gives up what others should hold and takes what this one should. */
  public async tick(): Promise<void> {
    const renewal = await this.session.renew();
    if (renewal === 'lost') {
      this.startOver();
      return;
    }
    if (renewal === 'renewed' && !this.isStopping) {
      this.startRebalancing();
    }
  }

  /** Records a newer snapshot of a shard. */
  public async commitState(
    shard: ShardId,
    state: ShardStateReference,
  ): Promise<Result<void, Error>> {
    const held = this.held.get(shard);
    if (held === undefined) {
      return Err(new Error(`shard ${shard} is not held`));
    }
    const isCommitted = await this.writeShard(shard, held, this.session.incarnation, state);
    return isCommitted ? Ok(undefined) : Err(new Error(`shard ${shard} was not written`));
  }

  /** Hands over every shard and ends the session. */
  public async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all([...this.held.keys()].map(async shard => this.release(shard)));
    await this.session.end();
  }

  /** Rebalances beside the renewals, which must not wait for a recovery. */
  private startRebalancing(): void {
    if (this.isRebalancing) {
      return;
    }
    this.isRebalancing = true;
    this.rebalance()
      .catch((failure: unknown) => {
        this.options.logger.warn({ failure: failureText(failure) }, 'rebalancing failed');
      })
      .finally(() => {
        this.isRebalancing = false;
      });
  }

  private async rebalance(): Promise<void> {
    await this.releaseForeign();
    await this.takeOwn();
  }

  private openSession(): Session {
    return new Session({ ...this.options, incarnation: this.options.createIncarnation() });
  }

  private startOver(): void {
    this.options.logger.warn({ incarnation: this.session.incarnation }, 'session lost');
    for (const shard of this.held.keys()) {
      this.options.owner.drop(shard);
    }
    this.held.clear();
    this.session = this.openSession();
  }

  private async releaseForeign(): Promise<void> {
    const eligible = this.options.members.eligible();
    const foreign = [...this.held].filter(
      ([shard, held]) =>
        held.phase === 'active' && preferredHolder(shard, eligible) !== this.options.instance,
    );
    await Promise.all(foreign.map(async ([shard]) => this.release(shard)));
  }

  private async release(shard: ShardId): Promise<void> {
    const held = this.held.get(shard);
    if (held === undefined || held.phase === 'releasing') {
      return;
    }
    held.phase = 'releasing';
    try {
      const state = await this.options.owner.handOver(shard);
      await this.writeShard(shard, held, null, state);
    } catch (failure) {
      this.options.logger.warn({ failure: failureText(failure), shard }, 'release failed');
    }
    this.options.owner.drop(shard);
    this.held.delete(shard);
  }

  private async takeOwn(): Promise<void> {
    const eligible = this.options.members.eligible();
    const wanted: ShardId[] = [];
    for (let shard = 0; shard < this.options.shardCount; shard++) {
      const id = shard as ShardId;
      if (!this.held.has(id) && preferredHolder(id, eligible) === this.options.instance) {
        wanted.push(id);
      }
    }
    if (wanted.length === 0) {
      this.observer.retain(new Set());
      return;
    }
    const free = await this.findFree(wanted);
    for (let start = 0; start < free.length; start += SHARDS_PER_TRANSACTION) {
      await this.take(free.slice(start, start + SHARDS_PER_TRANSACTION));
    }
  }

  /** Those of the wanted shards that nobody holds, or whose holder's session has expired. */
  private async findFree(wanted: readonly ShardId[]): Promise<readonly ReadShard[]> {
    const read = await this.options.table.read(wanted.map(shardRowKey));
    if (read.err) {
      return [];
    }
    const shards = read.val.map(row => ({
      row: parseShardRow(row),
      rowVersion: row.version,
      shard: Number(row.key.slice(row.key.indexOf('/') + 1)) as ShardId,
    }));
    const holders = new Set(
      shards
        .map(each => each.row.holder)
        .filter((holder): holder is IncarnationId => holder !== null)
        .filter(holder => holder !== this.incarnation),
    );
    const expired = await this.findExpired(holders);
    return shards.filter(
      ({ row }) =>
        row.holder === null || row.holder === this.incarnation || expired.has(row.holder),
    );
  }

  private async findExpired(
    holders: ReadonlySet<IncarnationId>,
  ): Promise<ReadonlyMap<IncarnationId, Row>> {
    this.observer.retain(holders);
    const incarnations = [...holders];
    const startedAt = this.options.timers.now();
    const read = await this.options.table.read(incarnations.map(sessionRowKey));
    const expired = new Map<IncarnationId, Row>();
    if (read.err) {
      return expired;
    }
    for (const [index, row] of read.val.entries()) {
      const incarnation = incarnations[index];
      if (incarnation !== undefined && this.observer.observe(incarnation, row, startedAt)) {
        expired.set(incarnation, row);
      }
    }
    // An expired session is ended first, so that its holder can never renew it again.
    for (const [incarnation, row] of expired) {
      if (row.version > 0 && !(await this.endSession(incarnation, row))) {
        expired.delete(incarnation);
      }
    }
    return expired;
  }

  private async endSession(incarnation: IncarnationId, row: Row): Promise<boolean> {
    const ended = await this.options.table.transact({
      checks: [{ key: row.key, version: row.version }],
      writes: [{ key: row.key, value: null }],
    });
    const isEnded = ended.ok && ended.val.status === 'committed';
    if (isEnded) {
      this.options.logger.info({ incarnation }, 'expired session ended');
    }
    return isEnded;
  }

  private async take(shards: readonly ReadShard[]): Promise<void> {
    const rows = shards.map(each => ({
      ...each.row,
      epoch: (each.row.epoch + 1) as Epoch,
      holder: this.session.incarnation,
    }));
    const outcome = await this.options.table.transact({
      checks: [
        this.session.check,
        ...shards.map(each => ({ key: shardRowKey(each.shard), version: each.rowVersion })),
      ],
      writes: shards.map((each, index) => ({
        key: shardRowKey(each.shard),
        value: JSON.stringify(rows[index]),
      })),
    });
    if (outcome.err || outcome.val.status === 'conflict') {
      return;
    }
    const written = outcome.val.rows;
    await Promise.all(
      shards.map(async (each, index) => {
        const held: HeldShard = {
          epoch: (each.row.epoch + 1) as Epoch,
          phase: 'recovering',
          rowVersion: written[index]?.version ?? 0,
          state: each.row.state,
        };
        this.held.set(each.shard, held);
        await this.recover(each.shard, held);
      }),
    );
  }

  private async recover(shard: ShardId, held: HeldShard): Promise<void> {
    try {
      const state = await this.options.owner.recover(shard, held.epoch, held.state);
      if (await this.writeShard(shard, held, this.session.incarnation, state)) {
        held.phase = 'active';
        return;
      }
    } catch (failure) {
      this.options.logger.warn({ failure: failureText(failure), shard }, 'recovery failed');
    }
    this.options.owner.drop(shard);
    this.held.delete(shard);
  }

  private async writeShard(
    shard: ShardId,
    held: HeldShard,
    holder: IncarnationId | null,
    state: ShardStateReference,
  ): Promise<boolean> {
    const row: ShardRow = { epoch: held.epoch, holder, state };
    const outcome = await this.options.table.transact({
      checks: [{ key: shardRowKey(shard), version: held.rowVersion }],
      writes: [{ key: shardRowKey(shard), value: JSON.stringify(row) }],
    });
    if (outcome.err || outcome.val.status === 'conflict') {
      return false;
    }
    held.rowVersion = outcome.val.rows[0]?.version ?? 0;
    held.state = state;
    return true;
  }
}
