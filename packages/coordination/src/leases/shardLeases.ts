import type { Epoch, IncarnationId, Logger, ShardId, TimerService } from '@zincring/core';
import type { TableService } from '@zincring/platform';

import { failureText, sleep } from '@zincring/core';

import type { ShardRow, ShardStateReference } from './leaseRows.js';
import type { LeaseTerms } from './session.js';
import type { ShardOwner, ShardStanding } from './shardLease.js';

import { preferredHolder } from '../shards/shardMap.js';
import { ExpiredSessions } from './expiredSessions.js';
import { HeldShard } from './heldShard.js';
import { parseShardRow, SESSION_ROOT, shardRowKey } from './leaseRows.js';
import { Session } from './session.js';

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

/** A row of a shard with its version. */
interface ReadShard {
  readonly shard: ShardId;
  readonly row: ShardRow;
  readonly rowVersion: number;
}

/** Most shards that are taken in one transaction. */
const SHARDS_PER_TRANSACTION = 32;
const SESSIONS_PER_PAGE = 200;
/** Pause before a failed recovery or release is tried again. */
const RETRY_PAUSE_MILLISECONDS = 500;

/**
 * Leases on shards: rendezvous hashing says who should try, the compare-and-set of the row says
 * who does. Call {@link ShardLeases.tick} every renewal interval.
 */
export class ShardLeases {
  private session: Session;
  private readonly expiredSessions: ExpiredSessions;
  private readonly abandonedSessions: ExpiredSessions;
  private readonly held = new Map<ShardId, HeldShard>();
  /**
   * Shards whose taking had no answer, with the version of the row that it expected: the row may
   * name this instance although it does not act for the shard.
   */
  private readonly unsettledTakes = new Map<ShardId, number>();
  private readonly releases = new Map<HeldShard, Promise<void>>();
  private isTicking = false;
  private isDraining = false;
  private isRebalancing = false;
  private isStopping = false;

  public constructor(private readonly options: ShardLeasesOptions) {
    this.session = this.openSession();
    const { termMilliseconds } = options.terms;
    this.expiredSessions = new ExpiredSessions({ ...options, termMilliseconds });
    this.abandonedSessions = new ExpiredSessions({ ...options, termMilliseconds });
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
    return this.held.get(shard)?.standing ?? 'none';
  }

  /** Renews the session, gives up what others should hold and takes what this one should. */
  public async tick(): Promise<void> {
    // A second renewal beside one that waits for its answer would fail the check of the row.
    if (this.isTicking || this.isStopping) {
      return;
    }
    this.isTicking = true;
    try {
      await this.renew();
    } finally {
      this.isTicking = false;
    }
  }

  /**
   * Ends the sessions of incarnations that are gone, also of those that held no shard, so that
   * their rows do not add up. To be called now and then, at intervals longer than a term.
   */
  public async endAbandonedSessions(): Promise<void> {
    const incarnations = new Set<IncarnationId>();
    let after: string | undefined;
    do {
      const page = await this.options.table.scan({
        limit: SESSIONS_PER_PAGE,
        prefix: SESSION_ROOT,
        ...(after === undefined ? {} : { after }),
      });
      if (page.err) {
        return;
      }
      for (const { key } of page.val.rows) {
        incarnations.add(key.slice(SESSION_ROOT.length) as IncarnationId);
      }
      after = page.val.next;
    } while (after !== undefined);
    incarnations.delete(this.incarnation);
    await this.abandonedSessions.find(incarnations);
  }

  /** Hands over every shard and ends the session. Renewals go on until then. */
  public async stop(): Promise<void> {
    const renewals = this.options.timers.every(this.options.terms.renewMilliseconds, () => {
      this.tick().catch((failure: unknown) => {
        this.options.logger.warn({ failure: failureText(failure) }, 'lease renewal failed');
      });
    });
    this.isDraining = true;
    await Promise.all([...this.held.values()].map(async held => this.release(held)));
    this.isStopping = true;
    renewals.stop();
    await this.session.end();
    this.startOver();
  }

  private async renew(): Promise<void> {
    const { session } = this;
    switch (await session.renew()) {
      case 'lost':
        this.startOver();
        return;
      case 'renewed':
        this.startRebalancing();
        return;
      case 'unknown':
        return;
    }
  }

  /** Rebalances beside the renewals, which must not wait for it. */
  private startRebalancing(): void {
    if (this.isRebalancing || this.isDraining) {
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
    const eligible = this.options.members.eligible();
    for (const held of this.held.values()) {
      const isForeign = preferredHolder(held.shard, eligible) !== this.options.instance;
      if (isForeign && held.phase === 'active') {
        void this.release(held);
      }
    }
    await this.takeOwn(eligible);
  }

  private openSession(): Session {
    return new Session({ ...this.options, incarnation: this.options.createIncarnation() });
  }

  private isCurrent(session: Session): boolean {
    return session === this.session && !this.isStopping;
  }

  private startOver(): void {
    if (!this.isStopping) {
      this.options.logger.warn({ incarnation: this.session.incarnation }, 'session lost');
    }
    for (const held of [...this.held.values()]) {
      this.drop(held);
    }
    this.unsettledTakes.clear();
    this.session = this.openSession();
  }

  private drop(held: HeldShard): void {
    if (held.phase === 'dropped') {
      return;
    }
    held.phase = 'dropped';
    if (this.held.get(held.shard) === held) {
      this.held.delete(held.shard);
    }
    this.options.owner.drop(held);
  }

  private async release(held: HeldShard): Promise<void> {
    if (held.phase === 'recovering') {
      // The row stands for the whole state: whoever finds the session ended takes it from there.
      this.drop(held);
      return;
    }
    const running = this.releases.get(held);
    if (running !== undefined) {
      await running;
      return;
    }
    held.phase = 'releasing';
    const release = this.finishRelease(held).finally(() => {
      this.releases.delete(held);
    });
    this.releases.set(held, release);
    await release;
  }

  /** Tries until the row is written: while it names this live session, nobody may take it. */
  private async finishRelease(held: HeldShard): Promise<void> {
    const state = await this.handOver(held);
    while (held.standing !== 'none') {
      const written = await held.writeRelease(state);
      // At a planned stop the session ends by itself: then a later holder need not wait for more.
      const isGivenUp = this.isDraining && held.standing === 'lapsed';
      if (written.ok || written.val === 'lost' || isGivenUp) {
        this.drop(held);
        return;
      }
      await sleep(this.options.timers, RETRY_PAUSE_MILLISECONDS);
    }
  }

  /** `undefined` when the state stays where the row says that it is. */
  private async handOver(held: HeldShard): Promise<ShardStateReference | undefined> {
    try {
      return await this.options.owner.handOver(held);
    } catch (failure) {
      const fields = { failure: failureText(failure), shard: held.shard };
      this.options.logger.warn(fields, 'shard handed over without a new snapshot');
      return undefined;
    }
  }

  private async takeOwn(eligible: ReadonlySet<string>): Promise<void> {
    const wanted: ShardId[] = [];
    for (let number = 0; number < this.options.shardCount; number++) {
      const shard = number as ShardId;
      const isWanted =
        this.unsettledTakes.has(shard) ||
        preferredHolder(shard, eligible) === this.options.instance;
      if (isWanted && !this.held.has(shard)) {
        wanted.push(shard);
      }
    }
    if (wanted.length === 0) {
      return;
    }
    const free = await this.findFree(wanted, eligible);
    for (let start = 0; start < free.length; start += SHARDS_PER_TRANSACTION) {
      await this.take(free.slice(start, start + SHARDS_PER_TRANSACTION));
    }
  }

  /** Those of the wanted shards that nobody holds, or whose holder's session has ended. */
  private async findFree(
    wanted: readonly ShardId[],
    eligible: ReadonlySet<string>,
  ): Promise<readonly ReadShard[]> {
    const read = await this.options.table.read(wanted.map(shardRowKey));
    if (read.err) {
      return [];
    }
    const shards = read.val.map(row => ({
      row: parseShardRow(row),
      rowVersion: row.version,
      shard: Number(row.key.slice(row.key.indexOf('/') + 1)) as ShardId,
    }));
    const candidates = shards.filter(each => this.isCandidate(each, eligible));
    const holders = new Set(
      candidates
        .map(each => each.row.holder)
        .filter((holder): holder is IncarnationId => holder !== null)
        .filter(holder => holder !== this.incarnation),
    );
    const ended = await this.expiredSessions.find(holders);
    return candidates.filter(
      ({ row }) => row.holder === null || row.holder === this.incarnation || ended.has(row.holder),
    );
  }

  private isCandidate(read: ReadShard, eligible: ReadonlySet<string>): boolean {
    const expectedVersion = this.unsettledTakes.get(read.shard);
    const isOwn = read.row.holder === this.incarnation;
    if (!isOwn && expectedVersion !== undefined && read.rowVersion !== expectedVersion) {
      // The row has moved on: the taking without an answer can no longer take effect.
      this.unsettledTakes.delete(read.shard);
    }
    return isOwn || preferredHolder(read.shard, eligible) === this.options.instance;
  }

  private async take(shards: readonly ReadShard[]): Promise<void> {
    const { session } = this;
    if (!this.isCurrent(session) || !session.isValid) {
      return;
    }
    const rows = shards.map(each => ({
      ...each.row,
      epoch: (each.row.epoch + 1) as Epoch,
      holder: session.incarnation,
    }));
    const earlier = new Set(this.unsettledTakes.keys());
    for (const each of shards) {
      this.unsettledTakes.set(each.shard, each.rowVersion);
    }
    const outcome = await this.options.table.transact({
      checks: [
        session.check,
        ...shards.map(each => ({ key: shardRowKey(each.shard), version: each.rowVersion })),
      ],
      writes: shards.map((each, index) => ({
        key: shardRowKey(each.shard),
        value: JSON.stringify(rows[index]),
      })),
    });
    if (outcome.err || !this.isCurrent(session)) {
      return;
    }
    const isTaken = outcome.val.status === 'committed';
    for (const each of shards) {
      // A conflict may come from an earlier taking without an answer, which named this instance.
      if (isTaken || !earlier.has(each.shard)) {
        this.unsettledTakes.delete(each.shard);
      }
    }
    if (!isTaken) {
      return;
    }
    for (const [index, each] of shards.entries()) {
      const rowVersion = outcome.val.rows[index]?.version ?? 0;
      this.startHolding(session, each, rowVersion);
    }
  }

  private startHolding(session: Session, read: ReadShard, rowVersion: number): void {
    const held = new HeldShard({
      epoch: (read.row.epoch + 1) as Epoch,
      rowVersion,
      session,
      shard: read.shard,
      state: read.row.state,
      table: this.options.table,
      timers: this.options.timers,
    });
    this.held.set(read.shard, held);
    void this.recover(held);
  }

  /** Tries until the shard is recovered or lost. */
  private async recover(held: HeldShard): Promise<void> {
    let state: ShardStateReference | undefined;
    while (held.isIn('recovering')) {
      // Once recovered, only the row is written again: it may have been written already, and then
      // what it named before may be deleted at any time.
      state ??= await this.tryRecovery(held);
      if (state !== undefined && (await this.activate(held, state))) {
        return;
      }
      await sleep(this.options.timers, RETRY_PAUSE_MILLISECONDS);
    }
  }

  private async tryRecovery(held: HeldShard): Promise<ShardStateReference | undefined> {
    try {
      return await this.options.owner.recover(held, held.state);
    } catch (failure) {
      const fields = { failure: failureText(failure), shard: held.shard };
      this.options.logger.warn(fields, 'recovery failed');
      return undefined;
    } finally {
      if (!held.isIn('recovering')) {
        this.options.owner.drop(held);
      }
    }
  }

  /** Returns whether no more is to be done: the shard is active or lost. */
  private async activate(held: HeldShard, state: ShardStateReference): Promise<boolean> {
    if (!held.isIn('recovering')) {
      return true;
    }
    const written = await held.commitState(state);
    if (!held.isIn('recovering')) {
      return true;
    }
    if (written.ok) {
      held.phase = 'active';
      return true;
    }
    if (written.val === 'lost') {
      this.drop(held);
      return true;
    }
    return false;
  }
}
