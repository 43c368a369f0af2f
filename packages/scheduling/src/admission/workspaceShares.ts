import type { TimerService, WorkspaceName } from '@zincring/core';

/** Requests of one instance in flight by workspace; `''` stands for all further workspaces together. */
export type WorkspaceTurnCounts = Readonly<Record<string, number>>;

/** Use of a workspace against its fair share. */
export interface WorkspaceStanding {
  /** Use over that of the mean workspace of its weight; 1 or less within the fair share. */
  readonly use: number;
  /** Share of all use that lies beyond fair shares, from 0 to 1. */
  readonly crowding: number;
  /** Time since the last sample, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Dependencies of {@link WorkspaceShares}. */
export interface WorkspaceSharesDependencies {
  readonly timers: TimerService;
  /** Returns the relative share of a workspace when workspaces compete; above 0. */
  readonly weightOf: (workspace: WorkspaceName) => number;
}

interface FairLevel {
  /** Fair use for each unit of weight, in sampled requests. */
  readonly level: number;
  /** Mean use for each unit of weight. */
  readonly mean: number;
  readonly crowding: number;
  readonly computedAt: number;
}

/** Key of the workspaces that are not named. */
const OTHERS = '';
/** Number of workspaces that one instance names: an instance has few requests in flight. */
const MAXIMUM_NAMED = 8;
/** Number of workspaces that are kept; the least used are dropped. */
const MAXIMUM_KEPT = 256;
/** Time in which a sample loses two thirds of its weight, in milliseconds: the length of a burst. */
const DECAY_MILLISECONDS = 3_000;
/** Interval at which samples are aged and the fair level is computed, in milliseconds. */
const UPDATE_INTERVAL_MILLISECONDS = 100;
/** Standard deviations by which sampled use may exceed the real one without being held against a workspace. */
const TOLERATED_DEVIATIONS = 1.5;
/** Sampled requests below which nothing is held against a workspace. */
const MINIMUM_SAMPLED = 20;
/** Use, relative to the mean for each unit of weight, up to which all workspaces are within their share alike. */
const COMMON_USE = 1.2;

/**
 * Estimates which workspaces use more than their fair share of all instances while one workspace sends
 * many times its usual. Replies between instances carry the requests in flight of the one that
 * replies, so the samples cost no message. The fair level is that of max-min fairness: shares that
 * workspaces leave unused are lent to the others.
 *
 * @example
 * shares.record({ clerks: 3, '': 2 });
 * shares.findStanding('clerks' as WorkspaceName, 1.3).use; // 2.1: beyond its share
 */
export class WorkspaceShares {
  private readonly own = new Map<string, number>();
  private readonly sampled = new Map<string, number>();
  private total = 0;
  private agedAt = -Infinity;
  private sampledAt = -Infinity;
  private fair: FairLevel | undefined;

  public constructor(private readonly dependencies: WorkspaceSharesDependencies) {}

  /** Counts a request of this instance; the returned function ends it. */
  public begin(workspace: WorkspaceName | undefined): () => void {
    const name = workspace ?? OTHERS;
    this.own.set(name, (this.own.get(name) ?? 0) + 1);
    return () => {
      const left = (this.own.get(name) ?? 0) - 1;
      if (left > 0) {
        this.own.set(name, left);
      } else {
        this.own.delete(name);
      }
    };
  }

  /** Counts of this instance, as another instance receives them: the largest few, and all others together. */
  public get ownCounts(): WorkspaceTurnCounts {
    const named = [...this.own]
      .filter(([name]) => name !== OTHERS)
      .sort(([, left], [, right]) => right - left);
    const others = named
      .slice(MAXIMUM_NAMED)
      .reduce((sum, [, count]) => sum + count, this.own.get(OTHERS) ?? 0);
    const counts = Object.fromEntries(named.slice(0, MAXIMUM_NAMED));
    return others > 0 ? { ...counts, [OTHERS]: others } : counts;
  }

  /** Takes in the counts of an instance. */
  public record(counts: WorkspaceTurnCounts): void {
    this.age();
    this.sampledAt = this.dependencies.timers.now();
    for (const [name, count] of Object.entries(counts)) {
      if (count > 0) {
        this.sampled.set(name, (this.sampled.get(name) ?? 0) + count);
        this.total += count;
      }
    }
  }

  /**
   * Compares the use of a workspace with its fair share.
   *
   * @param loadPerSlot requests of all instances in flight for each place; shares count above 1
   */
  public findStanding(
    workspace: WorkspaceName | undefined,
    loadPerSlot: number,
  ): WorkspaceStanding {
    this.age();
    const ageMilliseconds = this.dependencies.timers.now() - this.sampledAt;
    if (loadPerSlot <= 1 || this.total < MINIMUM_SAMPLED) {
      return { ageMilliseconds, crowding: 0, use: 0 };
    }
    const fair = this.findFairLevel(loadPerSlot);
    return {
      ageMilliseconds,
      crowding: fair.crowding,
      use: this.computeUse(workspace ?? OTHERS, fair),
    };
  }

  /** Use of a workspace over the mean if it is beyond the fair level; 1 at most if it is not or all use as much. */
  private computeUse(name: string, { level, mean }: Omit<FairLevel, 'crowding'>): number {
    const use = this.countSurely(name) / this.weightOf(name);
    return use > level && use > COMMON_USE * mean ? use / mean : Math.min(1, use / level);
  }

  private findFairLevel(loadPerSlot: number): FairLevel {
    const now = this.dependencies.timers.now();
    if (this.fair !== undefined && now - this.fair.computedAt < UPDATE_INTERVAL_MILLISECONDS) {
      return this.fair;
    }
    const uses = [...this.sampled].map(([name, count]) => ({
      count,
      name,
      weight: this.weightOf(name),
    }));
    const named = uses.filter(({ weight }) => weight !== Infinity);
    const level = fillToLevel(uses, this.total / loadPerSlot);
    const mean = sumOf(named, 'count') / sumOf(named, 'weight');
    const fair = { computedAt: now, level, mean };
    const beyond = named.reduce((sum, { count, name, weight }) => {
      const use = this.computeUse(name, fair);
      return sum + (use > 1 ? Math.max(0, count - level * weight) : 0);
    }, 0);
    this.fair = { ...fair, crowding: beyond / this.total };
    return this.fair;
  }

  /** Sampled requests of a workspace, less what may be due to chance. */
  private countSurely(name: string): number {
    const count = this.sampled.get(name) ?? 0;
    return Math.max(0, count - TOLERATED_DEVIATIONS * Math.sqrt(count));
  }

  private weightOf(name: string): number {
    return name === OTHERS ? Infinity : this.dependencies.weightOf(name as WorkspaceName);
  }

  private age(): void {
    const now = this.dependencies.timers.now();
    const elapsed = now - this.agedAt;
    if (elapsed < UPDATE_INTERVAL_MILLISECONDS) {
      return;
    }
    this.agedAt = now;
    const factor = Math.exp(-elapsed / DECAY_MILLISECONDS);
    const least = this.sampled.size > MAXIMUM_KEPT ? 1 : 0.01;
    this.total = 0;
    for (const [name, count] of this.sampled) {
      const aged = count * factor;
      if (aged < least) {
        this.sampled.delete(name);
      } else {
        this.sampled.set(name, aged);
        this.total += aged;
      }
    }
  }
}

function sumOf<Key extends string>(
  values: readonly Readonly<Record<Key, number>>[],
  key: Key,
): number {
  return values.reduce((sum, value) => sum + value[key], 0);
}

/** Finds the level for each unit of weight up to which all uses together fill the capacity. */
function fillToLevel(
  uses: readonly { readonly count: number; readonly weight: number }[],
  capacity: number,
): number {
  let remaining = capacity;
  let remainingWeight = sumOf(
    uses.filter(({ weight }) => weight !== Infinity),
    'weight',
  );
  const ascending = [...uses].sort(
    (left, right) => left.count / left.weight - right.count / right.weight,
  );
  for (const { count, weight } of ascending) {
    if (weight === Infinity) {
      remaining -= count;
    } else if (count / weight <= remaining / remainingWeight) {
      remaining -= count;
      remainingWeight -= weight;
    } else {
      return Math.max(0, remaining / remainingWeight);
    }
  }
  return Infinity;
}
