import type { IncarnationId, UpstreamId, WorkspaceName } from '@zincring/core';
import type { PrefixDigest } from '@zincring/scheduling';

import { hash32 } from '@zincring/core';
import { RetryBudget } from '@zincring/scheduling';

import type { Deployment } from '../deployments.js';
import type { PolicyName } from '../policies.js';
import type { Program } from '../workload/program.js';
import type { SimulatedCall } from './simulatedCall.js';
import type { PlacedReplica } from './simulatedInstance.js';

import { engineOptions, WORKERS_PER_PLAIN_REPLICA } from '../deployments.js';
import { createScheduler } from '../policies.js';
import { RandomSource } from '../../../util/randomSource.js';
import { EventQueue } from './eventQueue.js';
import { Measurements } from './measurements.js';
import { ProgramRun } from './programRun.js';
import { SimulatedEngine } from './simulatedEngine.js';
import { SimulatedInstance } from './simulatedInstance.js';
import { SimulatedService } from './simulatedService.js';

/** Options of a {@link SimulatedFleet}. */
export interface SimulatedFleetOptions {
  readonly deployment: Deployment;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly reportLagMilliseconds: number;
  /** Number of model replicas that crash, and the time of the crash in milliseconds. */
  readonly losses: { readonly count: number; readonly at: number } | undefined;
  readonly isWithinRate: (workspace: WorkspaceName) => boolean;
}

const REPORT_INTERVAL_MILLISECONDS = 500;
const GOSSIP_INTERVAL_MILLISECONDS = 1_000;
const GOSSIP_LAG_MILLISECONDS = 500;
const CACHE_EVENT_LAG_MILLISECONDS = 1_000;
/** Share of cache events that are lost. */
const LOST_CACHE_EVENT_SHARE = 0.1;
/** Lag of load reports that the instances assume. */
const ASSUMED_REPORT_LAG_MILLISECONDS = 1_000;
/** Time from the crash of a replica until it is removed from the replica list. */
const REPLICA_LIST_LAG_MILLISECONDS = 3_000;
const RELEASE_LAG_MILLISECONDS = 500;
const TARGET_WAITING_CALLS = 2;
const CALL_MILLISECONDS = 4_000;
const RETRY_SHARE = 0.1;
const RETRY_RESERVE_PER_SECOND = 13;
const MAXIMUM_SAVED_RETRIES = 50;
const ANNOUNCED_WORKSPACES = 64;

/** Simulates entry instances, replicas and the programs that use them on virtual time. */
export class SimulatedFleet {
  public readonly measurements: Measurements;
  public readonly events = new EventQueue();
  private readonly replicas = new Map<UpstreamId, PlacedReplica>();
  private readonly instances: readonly SimulatedInstance[];
  private readonly random: RandomSource;
  private evictions: { readonly digest: PrefixDigest; readonly replica: UpstreamId }[] = [];
  private readonly openPrograms = new Map<string, Program>();
  private pendingArrivals = 0;

  public constructor(private readonly options: SimulatedFleetOptions) {
    this.random = new RandomSource(options.seed);
    this.measurements = new Measurements(options.isWithinRate);
    this.addReplicas();
    this.instances = Array.from({ length: options.deployment.instances }, (_, index) =>
      this.createInstance(index),
    );
    this.updateReplicaLists();
    this.every(REPORT_INTERVAL_MILLISECONDS, () => {
      this.publishLoadReports();
    });
    this.every(GOSSIP_INTERVAL_MILLISECONDS, () => {
      this.gossip();
    });
    this.scheduleReplicaLosses();
  }

  /** Runs programs until all have ended, or until a time; the others are recorded as unfinished. */
  public run(programs: readonly Program[], until: number): void {
    this.pendingArrivals = programs.length;
    for (const program of programs) {
      this.events.after(program.arrivesAt, () => {
        this.startProgram(program);
      });
    }
    this.events.runUntil(until, () => this.pendingArrivals === 0 && this.openPrograms.size === 0);
    for (const program of this.openPrograms.values()) {
      this.recordProgram(program, false);
    }
  }

  private startProgram(program: Program): void {
    this.pendingArrivals--;
    this.openPrograms.set(program.id, program);
    const home = this.instances[hash32(program.id) % this.instances.length];
    if (home === undefined) {
      return;
    }
    const { events } = this;
    const onEnd = (): void => {
      this.openPrograms.delete(program.id);
      this.recordProgram(program, true);
      events.after(RELEASE_LAG_MILLISECONDS, () => {
        for (const { upstream } of this.replicas.values()) {
          upstream.release(program.id);
        }
      });
    };
    new ProgramRun({ events, home, onEnd, program }).start();
  }

  private recordProgram({ arrivesAt, id, workspace }: Program, isFinished: boolean): void {
    this.measurements.programs.push({
      arrivedAt: arrivesAt,
      isFinished,
      latencyMilliseconds: this.events.now - arrivesAt,
      program: id,
      workspace,
    });
  }

  private addReplicas(): void {
    const { modelReplicas, plainReplicas } = this.options.deployment;
    for (let index = 0; index < modelReplicas; index++) {
      const id = `model-${index}` as UpstreamId;
      const upstream = new SimulatedEngine(this.events, engineOptions, {
        onEvicted: digest => {
          this.evictions.push({ digest, replica: id });
        },
        onTokens: (count, milliseconds) => {
          this.measurements.addTokens(count, milliseconds);
        },
      });
      this.replicas.set(id, { id, service: 'model', upstream, zone: this.zoneOf(index) });
    }
    for (let index = 0; index < plainReplicas; index++) {
      const id = `plain-${index}` as UpstreamId;
      const upstream = new SimulatedService(this.events, WORKERS_PER_PLAIN_REPLICA);
      this.replicas.set(id, { id, service: 'plain', upstream, zone: this.zoneOf(index) });
    }
  }

  private zoneOf(index: number): PlacedReplica['zone'] {
    const { zones } = this.options.deployment;
    return zones[index % zones.length] ?? ('' as PlacedReplica['zone']);
  }

  private createInstance(index: number): SimulatedInstance {
    const { deployment, policy } = this.options;
    const zone = this.zoneOf(index);
    const createServiceScheduler = (slotsPerReplica: number): ReturnType<typeof createScheduler> =>
      createScheduler(policy, {
        instanceIndex: index,
        random: this.random,
        slotsPerReplica,
        window: {
          callMilliseconds: CALL_MILLISECONDS,
          instances: deployment.instances,
          maximumCalls: slotsPerReplica,
          targetWaiting: TARGET_WAITING_CALLS,
        },
        zone,
      });
    const retryBudget = new RetryBudget({
      instances: deployment.instances,
      maximumSaved: MAXIMUM_SAVED_RETRIES,
      reservePerSecond: RETRY_RESERVE_PER_SECOND,
      share: RETRY_SHARE,
    });
    return new SimulatedInstance({
      events: this.events,
      id: `instance-${index}` as IncarnationId,
      measurements: this.measurements,
      replicas: this.replicas,
      retryBudget: policy === 'naive' ? undefined : retryBudget,
      schedulers: {
        model: createServiceScheduler(engineOptions.slots),
        plain: createServiceScheduler(WORKERS_PER_PLAIN_REPLICA),
      },
      zone,
      zoneMilliseconds: deployment.zoneMilliseconds,
    });
  }

  private updateReplicaLists(): void {
    for (const { options } of this.instances) {
      for (const service of ['model', 'plain'] as const) {
        const serviceReplicas = [...this.replicas.values()].filter(
          replica => replica.service === service,
        );
        options.schedulers[service].update(serviceReplicas);
      }
    }
  }

  private scheduleReplicaLosses(): void {
    const { losses } = this.options;
    if (losses === undefined) {
      return;
    }
    const lostReplicas = [...this.replicas.values()].slice(0, losses.count);
    this.events.after(losses.at, () => {
      for (const { upstream } of lostReplicas) {
        upstream.crash();
      }
    });
    this.events.after(losses.at + REPLICA_LIST_LAG_MILLISECONDS, () => {
      for (const { id } of lostReplicas) {
        this.replicas.delete(id);
      }
      this.updateReplicaLists();
    });
  }

  private publishLoadReports(): void {
    const reports = [...this.replicas.values()].map(({ id, service, upstream }) => ({
      id,
      load: upstream.load,
      service,
    }));
    this.events.after(this.options.reportLagMilliseconds, () => {
      const { now } = this.events;
      const measuredAt = now - ASSUMED_REPORT_LAG_MILLISECONDS;
      for (const instance of this.instances) {
        for (const { id, load, service } of reports) {
          const scheduler = instance.options.schedulers[service];
          scheduler.observeLoad(id, { ...load, measuredAt }, now);
        }
        this.dispatchAllServices(instance);
      }
    });
  }

  private gossip(): void {
    const evictions = this.evictions.filter(() => this.random.uniform() >= LOST_CACHE_EVENT_SHARE);
    this.evictions = [];
    const announcements = this.instances.map(({ options, workspaceUse }) => ({
      id: options.id,
      totals: workspaceUse.listRecentTotals(ANNOUNCED_WORKSPACES),
    }));
    this.events.after(GOSSIP_LAG_MILLISECONDS, () => {
      for (const { options, workspaceUse } of this.instances) {
        for (const { id, totals } of announcements.filter(({ id }) => id !== options.id)) {
          workspaceUse.applyTotals(id, totals);
        }
      }
    });
    this.events.after(CACHE_EVENT_LAG_MILLISECONDS, () => {
      for (const { options } of this.instances) {
        for (const { digest, replica } of evictions) {
          options.schedulers.model.observeCacheChange({ change: 'evicted', digest, replica });
        }
      }
    });
  }

  private dispatchAllServices(instance: SimulatedInstance): void {
    for (const service of [
      'model',
      'plain',
    ] as const satisfies readonly SimulatedCall['service'][]) {
      instance.dispatchReady(service);
    }
  }

  private every(milliseconds: number, run: () => void): void {
    this.events.after(milliseconds, () => {
      run();
      this.every(milliseconds, run);
    });
  }
}

/** Selects the programs of one workspace. */
export function selectPrograms(
  programs: readonly Program[],
  workspace: WorkspaceName,
): readonly Program[] {
  return programs.filter(program => program.workspace === workspace);
}
