import type { Epoch, IncarnationId, Logger, ShardId, TimerService } from '@zincring/core';
import type { TableService } from '@zincring/platform';

import { failureText, sleep } from '@zincring/core';

import type { ShardRow, ShardStateReference } from './leaseRows.js';
import type { LeaseTerms } from './session.js';
import type { ShardOwner, ShardLeaseStatus } from './shardLease.js';

import { preferredHolder } from '../shards/shardMap.js';
import { ExpiredSessionReaper } from './expiredSessionReaper.js';
import { HeldShard } from './heldShard.js';
import { parseShardRow, SESSION_KEY_PREFIX, shardRowKey } from './leaseRows.js';
import { Session } from './session.js';

/** Source of the instances among which the shards are distributed. */
export interface ShardMembers {
  /** Names of the instances that are alive and not leaving; includes this one until it leaves. */
  eligible(): ReadonlySet<string>;
}

/** Options of {@link ShardLeases}. */
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
  /** Creates the identifier of a new incarnation. */
  readonly createIncarnation: () => IncarnationId;
}

/** Row of a shard as it was read, with its version. */
interface VersionedShardRow {
  readonly shard: ShardId;
  readonly row: ShardRow;
  readonly rowVersion: number;
}

const MAXIMUM_SHARDS_PER_TRANSACTION = 32;
const SESSIONS_PER_PAGE = 200;
/** Delay before a failed recovery or release is retried. */
const RETRY_DELAY_MILLISECONDS = 500;

/**
 * Acquires, renews and releases the leases of shards. Rendezvous hashing determines which instance
 * should acquire a shard; the compare-and-set of the shard's row decides which instance does. Call
 * {@link ShardLeases.tick} once every renewal interval.
 */
export class ShardLeases {
  private session: Session;
  private readonly holderSessionReaper: ExpiredSessionReaper;
  private readonly abandonedSessionReaper: ExpiredSessionReaper;
  private readonly heldByShard = new Map<ShardId, HeldShard>();
  /**
   * Shards with an acquisition of unknown outcome, and the row version that it expected. The row
   * may name this instance as the holder although the instance does not serve the shard.
   */
  private readonly unresolvedAcquisitions = new Map<ShardId, number>();
  private readonly releasesInProgress = new Map<HeldShard, Promise<void>>();
  private isTicking = false;
  private isDraining = false;
  private isRebalancing = false;
  private isStopping = false;

  public constructor(private readonly options: ShardLeasesOptions) {
    this.session = this.createSession();
    const { termMilliseconds } = options.terms;
    this.holderSessionReaper = new ExpiredSessionReaper({ ...options, termMilliseconds });
    this.abandonedSessionReaper = new ExpiredSessionReaper({ ...options, termMilliseconds });
  }

  /** Current incarnation; replaced by a new one when the session is lost. */
  public get incarnation(): IncarnationId {
    return this.session.incarnation;
  }

  /** Shards that were acquired and not dropped since, in no particular order. */
  public get heldShards(): readonly ShardId[] {
    return [...this.heldByShard.keys()];
  }

  /** Status of this instance's lease on a shard. Must be checked again after every await. */
  public status(shard: ShardId): ShardLeaseStatus {
    return this.heldByShard.get(shard)?.status ?? 'none';
  }

  /** Renews the session, then releases and acquires shards according to the eligible instances. */
  public async tick(): Promise<void> {
    // A renewal sent before the response to the previous one would fail its row version check.
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
   * Ends the expired sessions of other incarnations, including those that held no shard, so that
   * their rows do not accumulate. Call it periodically, at intervals longer than a term.
   */
  public async endAbandonedSessions(): Promise<void> {
    const incarnations = new Set<IncarnationId>();
    let after: string | undefined;
    do {
      const page = await this.options.table.scan({
        limit: SESSIONS_PER_PAGE,
        prefix: SESSION_KEY_PREFIX,
        ...(after === undefined ? {} : { after }),
      });
      if (page.err) {
        return;
      }
      for (const { key } of page.val.rows) {
        incarnations.add(key.slice(SESSION_KEY_PREFIX.length) as IncarnationId);
      }
      after = page.val.next;
    } while (after !== undefined);
    incarnations.delete(this.incarnation);
    await this.abandonedSessionReaper.endExpired(incarnations);
  }

  /** Hands over every shard, renewing the session meanwhile, and then ends the session. */
  public async stop(): Promise<void> {
    const renewals = this.options.timers.every(this.options.terms.renewMilliseconds, () => {
      this.tick().catch((failure: unknown) => {
        this.options.logger.warn({ failure: failureText(failure) }, 'lease renewal failed');
      });
    });
    this.isDraining = true;
    await Promise.all(
      [...this.heldByShard.values()].map(async heldShard => this.release(heldShard)),
    );
    this.isStopping = true;
    renewals.stop();
    await this.session.end();
    this.replaceSession();
  }

  private async renew(): Promise<void> {
    const { session } = this;
    switch (await session.renew()) {
      case 'lost':
        this.replaceSession();
        return;
      case 'renewed':
        this.startRebalancing();
        return;
      case 'unknown':
        return;
    }
  }

  /** Rebalances concurrently with the renewals, which must not wait for it. */
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
    for (const heldShard of this.heldByShard.values()) {
      const isPreferredElsewhere =
        preferredHolder(heldShard.shard, eligible) !== this.options.instance;
      if (isPreferredElsewhere && heldShard.phase === 'active') {
        void this.release(heldShard);
      }
    }
    await this.acquireWantedShards(eligible);
  }

  private createSession(): Session {
    return new Session({ ...this.options, incarnation: this.options.createIncarnation() });
  }

  private isCurrentSession(session: Session): boolean {
    return session === this.session && !this.isStopping;
  }

  private replaceSession(): void {
    if (!this.isStopping) {
      this.options.logger.warn({ incarnation: this.session.incarnation }, 'session lost');
    }
    for (const heldShard of [...this.heldByShard.values()]) {
      this.drop(heldShard);
    }
    this.unresolvedAcquisitions.clear();
    this.session = this.createSession();
  }

  private drop(heldShard: HeldShard): void {
    if (heldShard.phase === 'dropped') {
      return;
    }
    heldShard.phase = 'dropped';
    if (this.heldByShard.get(heldShard.shard) === heldShard) {
      this.heldByShard.delete(heldShard.shard);
    }
    this.options.owner.drop(heldShard);
  }

  private async release(heldShard: HeldShard): Promise<void> {
    if (heldShard.phase === 'recovering') {
      // The row still refers to the complete state: the next holder recovers from there once the
      // session has ended.
      this.drop(heldShard);
      return;
    }
    const releaseInProgress = this.releasesInProgress.get(heldShard);
    if (releaseInProgress !== undefined) {
      await releaseInProgress;
      return;
    }
    heldShard.phase = 'releasing';
    const release = this.handOverAndRelease(heldShard).finally(() => {
      this.releasesInProgress.delete(heldShard);
    });
    this.releasesInProgress.set(heldShard, release);
    await release;
  }

  /** Retries until the row is written, as no one else can acquire it while this session is live. */
  private async handOverAndRelease(heldShard: HeldShard): Promise<void> {
    const state = await this.tryHandOver(heldShard);
    while (heldShard.status !== 'none') {
      const written = await heldShard.writeRelease(state);
      // A planned stop ends the session in any case, so the next holder does not depend on the row.
      const isLeftToExpiry = this.isDraining && heldShard.status === 'lapsed';
      if (written.ok || written.val === 'lost' || isLeftToExpiry) {
        this.drop(heldShard);
        return;
      }
      await sleep(this.options.timers, RETRY_DELAY_MILLISECONDS);
    }
  }

  /** Returns `undefined` on failure: the location of the state in the row then stays valid. */
  private async tryHandOver(heldShard: HeldShard): Promise<ShardStateReference | undefined> {
    try {
      return await this.options.owner.handOver(heldShard);
    } catch (failure) {
      const fields = { failure: failureText(failure), shard: heldShard.shard };
      this.options.logger.warn(
        fields,
        'handover failed; releasing the shard without a new snapshot',
      );
      return undefined;
    }
  }

  private async acquireWantedShards(eligible: ReadonlySet<string>): Promise<void> {
    const wantedShards: ShardId[] = [];
    for (let shardNumber = 0; shardNumber < this.options.shardCount; shardNumber++) {
      const shard = shardNumber as ShardId;
      const isWanted =
        this.unresolvedAcquisitions.has(shard) ||
        preferredHolder(shard, eligible) === this.options.instance;
      if (isWanted && !this.heldByShard.has(shard)) {
        wantedShards.push(shard);
      }
    }
    if (wantedShards.length === 0) {
      return;
    }
    const acquirable = await this.findAcquirable(wantedShards, eligible);
    for (let start = 0; start < acquirable.length; start += MAXIMUM_SHARDS_PER_TRANSACTION) {
      await this.acquire(acquirable.slice(start, start + MAXIMUM_SHARDS_PER_TRANSACTION));
    }
  }

  /** Finds the wanted shards without another holder, or whose holder's session has ended. */
  private async findAcquirable(
    wantedShards: readonly ShardId[],
    eligible: ReadonlySet<string>,
  ): Promise<readonly VersionedShardRow[]> {
    const read = await this.options.table.read(wantedShards.map(shardRowKey));
    if (read.err) {
      return [];
    }
    const readRows = read.val.map(row => ({
      row: parseShardRow(row),
      rowVersion: row.version,
      shard: Number(row.key.slice(row.key.indexOf('/') + 1)) as ShardId,
    }));
    const candidates = readRows.filter(candidate => this.isCandidate(candidate, eligible));
    const holders = new Set(
      candidates
        .map(candidate => candidate.row.holder)
        .filter((holder): holder is IncarnationId => holder !== null)
        .filter(holder => holder !== this.incarnation),
    );
    const endedHolders = await this.holderSessionReaper.endExpired(holders);
    return candidates.filter(
      ({ row }) =>
        row.holder === null || row.holder === this.incarnation || endedHolders.has(row.holder),
    );
  }

  private isCandidate(candidate: VersionedShardRow, eligible: ReadonlySet<string>): boolean {
    const expectedVersion = this.unresolvedAcquisitions.get(candidate.shard);
    const isOwn = candidate.row.holder === this.incarnation;
    if (!isOwn && expectedVersion !== undefined && candidate.rowVersion !== expectedVersion) {
      // The row has a new version, so the unresolved acquisition can no longer take effect.
      this.unresolvedAcquisitions.delete(candidate.shard);
    }
    return isOwn || preferredHolder(candidate.shard, eligible) === this.options.instance;
  }

  private async acquire(candidates: readonly VersionedShardRow[]): Promise<void> {
    const { session } = this;
    if (!this.isCurrentSession(session) || !session.isValid) {
      return;
    }
    const rows = candidates.map(candidate => ({
      ...candidate.row,
      epoch: (candidate.row.epoch + 1) as Epoch,
      holder: session.incarnation,
    }));
    const previouslyUnresolved = new Set(this.unresolvedAcquisitions.keys());
    for (const candidate of candidates) {
      this.unresolvedAcquisitions.set(candidate.shard, candidate.rowVersion);
    }
    const outcome = await this.options.table.transact({
      checks: [
        session.check,
        ...candidates.map(candidate => ({
          key: shardRowKey(candidate.shard),
          version: candidate.rowVersion,
        })),
      ],
      writes: candidates.map((candidate, index) => ({
        key: shardRowKey(candidate.shard),
        value: JSON.stringify(rows[index]),
      })),
    });
    if (outcome.err || !this.isCurrentSession(session)) {
      return;
    }
    const isCommitted = outcome.val.status === 'committed';
    for (const candidate of candidates) {
      // A conflict may be due to an earlier, unresolved acquisition that named this instance.
      if (isCommitted || !previouslyUnresolved.has(candidate.shard)) {
        this.unresolvedAcquisitions.delete(candidate.shard);
      }
    }
    if (!isCommitted) {
      return;
    }
    for (const [index, candidate] of candidates.entries()) {
      const rowVersion = outcome.val.rows[index]?.version ?? 0;
      this.addHeldShard(session, candidate, rowVersion);
    }
  }

  private addHeldShard(session: Session, candidate: VersionedShardRow, rowVersion: number): void {
    const heldShard = new HeldShard({
      epoch: (candidate.row.epoch + 1) as Epoch,
      rowVersion,
      session,
      shard: candidate.shard,
      state: candidate.row.state,
      table: this.options.table,
      timers: this.options.timers,
    });
    this.heldByShard.set(candidate.shard, heldShard);
    void this.recover(heldShard);
  }

  /** Retries until the shard is recovered or lost. */
  private async recover(heldShard: HeldShard): Promise<void> {
    let state: ShardStateReference | undefined;
    while (heldShard.isInPhase('recovering')) {
      // After a successful recovery only the write of the row is retried: an earlier attempt may
      // have taken effect, and the objects that the row referred to before may then be deleted at
      // any time.
      state ??= await this.tryRecovery(heldShard);
      if (state !== undefined && (await this.activate(heldShard, state))) {
        return;
      }
      await sleep(this.options.timers, RETRY_DELAY_MILLISECONDS);
    }
  }

  private async tryRecovery(heldShard: HeldShard): Promise<ShardStateReference | undefined> {
    try {
      return await this.options.owner.recover(heldShard, heldShard.state);
    } catch (failure) {
      const fields = { failure: failureText(failure), shard: heldShard.shard };
      this.options.logger.warn(fields, 'shard recovery failed');
      return undefined;
    } finally {
      if (!heldShard.isInPhase('recovering')) {
        this.options.owner.drop(heldShard);
      }
    }
  }

  /** Writes the recovered state to the row. Returns whether the shard is now active or lost. */
  private async activate(heldShard: HeldShard, state: ShardStateReference): Promise<boolean> {
    if (!heldShard.isInPhase('recovering')) {
      return true;
    }
    const written = await heldShard.commitState(state);
    if (!heldShard.isInPhase('recovering')) {
      return true;
    }
    if (written.ok) {
      heldShard.phase = 'active';
      return true;
    }
    if (written.val === 'lost') {
      this.drop(heldShard);
      return true;
    }
    return false;
  }
}
