import type { Epoch, InstanceId, ProgramId, ShardId } from '@zincring/core';

import { shardOf } from '@zincring/coordination';

import type { GoneProgram, GoneProgramFinder } from '../upstreams/engineSweeper.js';
import type { PeerClients } from './peerClients.js';

/** Options of {@link PeerGoneProgramFinder}. */
export interface PeerGoneProgramFinderOptions {
  readonly clients: PeerClients;
  readonly shardCount: number;
  readonly self: InstanceId;
  /** Returns the holder of a shard; `undefined` when it is not known. */
  readonly holderOf: (shard: ShardId) => ShardHolder | undefined;
  /** Returns those programs that have ended or are unknown, for shards that this instance holds. */
  readonly findGoneHere: (programs: readonly ProgramId[]) => readonly GoneProgram[];
}

/** Instance that holds a shard, with its peer address. */
export interface ShardHolder {
  readonly instance: InstanceId;
  readonly address: string;
}

const FIND_GONE_TIMEOUT_MILLISECONDS = 2_000;

/** Asks each home, in one request, which of the given programs have ended or are unknown there. */
export class PeerGoneProgramFinder implements GoneProgramFinder {
  public constructor(private readonly options: PeerGoneProgramFinderOptions) {}

  public async findGone(programs: readonly ProgramId[]): Promise<readonly GoneProgram[]> {
    const byAddress = this.groupByHomeAddress(programs);
    const goneByHome = await Promise.all(
      [...byAddress].map(async ([address, programsAtHome]) =>
        this.findGoneAt(address, programsAtHome),
      ),
    );
    return goneByHome.flat();
  }

  /** Groups programs by the peer address of their home; the empty one represents this instance. */
  private groupByHomeAddress(
    programs: readonly ProgramId[],
  ): ReadonlyMap<string, readonly ProgramId[]> {
    const groups = new Map<string, ProgramId[]>();
    for (const program of programs) {
      const holder = this.options.holderOf(shardOf(program, this.options.shardCount));
      if (holder === undefined) {
        continue;
      }
      const address = holder.instance === this.options.self ? '' : holder.address;
      groups.set(address, [...(groups.get(address) ?? []), program]);
    }
    return groups;
  }

  private async findGoneAt(
    address: string,
    programs: readonly ProgramId[],
  ): Promise<readonly GoneProgram[]> {
    if (address === '') {
      return this.options.findGoneHere(programs);
    }
    try {
      const response = await this.options.clients
        .at(address)
        .findGone({ programs: [...programs] }, { timeoutMs: FIND_GONE_TIMEOUT_MILLISECONDS });
      return response.gone.map(({ epoch, program }) => ({
        fence: Number(epoch) as Epoch,
        program: program as ProgramId,
      }));
    } catch {
      // A home that did not respond is asked again in the next sweep.
      return [];
    }
  }
}
