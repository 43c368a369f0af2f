import type { IncarnationId, ProgramId, ShardId, UpstreamId } from '@zincring/core';
import type { Membership, Update } from '@zincring/coordination';
import type { DirectoryEntry } from '@zincring/platform';

import { shardOf } from '@zincring/coordination';

import type { ConfigurationFollower } from '../configuration/configurationFollower.js';
import type { Settings } from '../lifecycle/settings.js';
import type { ProgramHome } from '../programs/programHome.js';
import type { ReplicaStatus } from '../upstreams/serviceQueues.js';
import type {
  InstanceReport,
  LimitReport,
  OperatorStatusSource,
  ProgramReport,
  UpstreamReport,
} from './operatorStatus.js';

/** Options of an {@link InstanceStatus}: the components it reports on. */
export interface InstanceStatusOptions {
  readonly settings: Settings;
  readonly configuration: ConfigurationFollower;
  readonly home: ProgramHome;
  readonly membership: Membership;
  /**
   * Returns the upstream replicas with the number of calls in flight to each from this instance.
   */
  readonly upstreams: () => readonly ReplicaStatus[];
  readonly incarnation: () => IncarnationId;
  readonly limits: () => readonly LimitReport[];
  readonly shards: () => readonly ShardId[];
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
}

/** Reports the state of an instance, and its view of the others, to operators. */
export class InstanceStatus implements OperatorStatusSource {
  private directoryEntries: readonly DirectoryEntry[] = [];

  public constructor(private readonly options: InstanceStatusOptions) {}

  /** Applies the current entries of the platform's directory. */
  public updateDirectory(directoryEntries: readonly DirectoryEntry[]): void {
    this.directoryEntries = directoryEntries;
  }

  public describeInstance(): InstanceReport {
    const { configuration, home, incarnation, isDraining, isReady } = this.options;
    const { limits, membership, settings, shards } = this.options;
    const { blocked, newestVersion, storeAgeMilliseconds, version } = configuration;
    return {
      configuration: { blocked, newestVersion, storeAgeMilliseconds, version },
      incarnation: incarnation(),
      instance: settings.instance,
      isDraining: isDraining(),
      isReady: isReady(),
      limits: limits(),
      peersAlive: membership.alive.length,
      programs: home.programCount,
      shards: shards(),
      upstreams: this.describeUpstreams(),
      zone: settings.zone,
    };
  }

  public describeProgram(program: ProgramId): ProgramReport | undefined {
    const state = this.options.home.findProgramState(program);
    if (state === undefined) {
      return undefined;
    }
    const { callsLeft, digest, durableTurn, hasEnded, policy, tokensLeft, turn } = state.summary;
    return {
      callsLeft,
      digest,
      durableTurn,
      hasEnded,
      policy,
      shard: shardOf(program, this.options.settings.shardCount),
      tokensLeft,
      turn,
      workspace: state.opened.workspace,
    };
  }

  public readConfigurationUpdate(version: number): Update {
    return this.options.configuration.getUpdateAfter(version);
  }

  private describeUpstreams(): readonly UpstreamReport[] {
    const replicaStatuses = new Map(this.options.upstreams().map(each => [each.replica.id, each]));
    return this.directoryEntries.flatMap(({ id, role, state, zone }) => {
      if (role.kind !== 'upstream') {
        return [];
      }
      const { inFlight = 0, window = 0 } = replicaStatuses.get(id as UpstreamId) ?? {};
      return [{ id: id as UpstreamId, inFlight, service: role.service, state, window, zone }];
    });
  }
}
