import type { Epoch, InstanceId, ProgramId, ShardId } from '@zincring/core';

import { shardOf } from '@zincring/coordination';

import type { GoneProgram, ProgramCensus } from '../upstreams/engineSweeper.js';
import type { PeerClients } from './peerClients.js';

/** What asking the homes needs. */
export interface FleetCensusOptions {
  readonly clients: PeerClients;
  readonly shardCount: number;
  readonly self: InstanceId;
  /** The instance that holds a shard, with its peer address; `undefined` when not known. */
  readonly holderOf: (shard: ShardId) => ShardHolder | undefined;
  /** Programs that are gone, of those whose shards this instance holds. */
  readonly findGoneHere: (programs: readonly ProgramId[]) => readonly GoneProgram[];
}

/** Where a shard is held. */
export interface ShardHolder {
  readonly instance: InstanceId;
  readonly address: string;
}

const CENSUS_TIMEOUT_MILLISECONDS = 2_000;

/** Asks the homes of programs, each once, which of their programs are gone. */
export class FleetCensus implements ProgramCensus {
  public constructor(private readonly options: FleetCensusOptions) {}

  public async findGone(programs: readonly ProgramId[]): Promise<readonly GoneProgram[]> {
    const byAddress = this.groupByHome(programs);
    const answers = await Promise.all(
      [...byAddress].map(async ([address, asked]) => this.ask(address, asked)),
    );
    return answers.flat();
  }

  private groupByHome(programs: readonly ProgramId[]): ReadonlyMap<string, readonly ProgramId[]> {
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

  private async ask(
    address: string,
    programs: readonly ProgramId[],
  ): Promise<readonly GoneProgram[]> {
    if (address === '') {
      return this.options.findGoneHere(programs);
    }
    try {
      const response = await this.options.clients
        .at(address)
        .findGone({ programs: [...programs] }, { timeoutMs: CENSUS_TIMEOUT_MILLISECONDS });
      return response.gone.map(({ epoch, program }) => ({
        fence: Number(epoch) as Epoch,
        program: program as ProgramId,
      }));
    } catch {
      // A home that does not answer is asked again by the next sweep.
      return [];
    }
  }
}
