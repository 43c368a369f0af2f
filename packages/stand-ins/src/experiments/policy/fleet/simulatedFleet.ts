import type { IncarnationId, UpstreamId, WorkspaceName } from '@zincring/core';
import type { PrefixDigest } from '@zincring/scheduling';

import { hash32 } from '@zincring/core';
import { RetryBudget } from '@zincring/scheduling';

import type { Deployment } from '../deployments.js';
import type { PolicyName } from '../policies.js';
import type { Program } from '../workload/program.js';
import type { SimulatedCall } from './modelCall.js';
import type { PlacedReplica } from './simulatedInstance.js';

import { engineSpeed, PLAIN_WORKERS } from '../deployments.js';
import { createScheduler } from '../policies.js';
import { RandomSource } from '../../../util/randomSource.js';
import { EventQueue } from './eventQueue.js';
import { Measurements } from './measurements.js';
import { ProgramRun } from './programRun.js';
import { SimulatedEngine } from './simulatedEngine.js';
import { SimulatedInstance } from './simulatedInstance.js';
import { SimulatedService } from './simulatedService.js';

/** A run of one policy over one workload. */
export interface FleetOptions {
  readonly deployment: Deployment;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly reportLagMilliseconds: number;
  /** Model replicas that die, and when. */
  readonly losses: { readonly count: number; readonly at: number } | undefined;
  readonly isWithinRate: (workspace: WorkspaceName) => boolean;
}

const REPORT_INTERVAL_MILLISECONDS = 500;
const GOSSIP_INTERVAL_MILLISECONDS = 1_000;
const GOSSIP_LAG_MILLISECONDS = 500;
const CACHE_EVENT_LAG_MILLISECONDS = 1_000;
/** Share of cache events that never arrive. */
const CACHE_EVENT_GAPS = 0.1;
/** How far instances believe that load reports lag behind. */
const ASSUMED_REPORT_LAG_MILLISECONDS = 1_000;
/** Time until the list tells of a replica that is gone. */
const LIST_LAG_MILLISECONDS = 3_000;
const RELEASE_LAG_MILLISECONDS = 500;
const TARGET_WAITING = 2;
const CALL_MILLISECONDS = 4_000;
const RETRY_SHARE = 0.1;
const RETRY_RESERVE_PER_SECOND = 13;
const RETRIES_SAVED = 50;
const TOLD_WORKSPACES = 64;

/** Entry instances, replicas and the programs that use them, under virtual time. */
export class SimulatedFleet {
  public readonly measurements: Measurements;
  public readonly events = new EventQueue();
  private readonly replicas = new Map<UpstreamId, PlacedReplica>();
  private readonly instances: readonly SimulatedInstance[];
  private readonly random: RandomSource;
  private evictions: { readonly digest: PrefixDigest; readonly replica: UpstreamId }[] = [];
  private readonly open = new Map<string, Program>();
  private toArrive = 0;

  public constructor(private readonly options: FleetOptions) {
    this.random = new RandomSource(options.seed);
    this.measurements = new Measurements(options.isWithinRate);
    this.addReplicas();
    this.instances = Array.from({ length: options.deployment.instances }, (_, number) =>
      this.createInstance(number),
    );
    this.listReplicas();
    this.every(REPORT_INTERVAL_MILLISECONDS, () => {
      this.publishReports();
    });
    this.every(GOSSIP_INTERVAL_MILLISECONDS, () => {
      this.gossip();
    });
    this.planLosses();
  }

  /** Runs programs until all have ended, or until a time; the rest is counted as unfinished. */
  public run(programs: readonly Program[], until: number): void {
    this.toArrive = programs.length;
    for (const program of programs) {
      this.events.after(program.arrivesAt, () => {
        this.startProgram(program);
      });
    }
    this.events.runUntil(until, () => this.toArrive === 0 && this.open.size === 0);
    for (const program of this.open.values()) {
      this.noteProgram(program, false);
    }
  }

  private startProgram(program: Program): void {
    this.toArrive--;
    this.open.set(program.id, program);
    const home = this.instances[hash32(program.id) % this.instances.length];
    if (home === undefined) {
      return;
    }
    const { events } = this;
    const onEnd = (): void => {
      this.open.delete(program.id);
      this.noteProgram(program, true);
      events.after(RELEASE_LAG_MILLISECONDS, () => {
        for (const { upstream } of this.replicas.values()) {
          upstream.release(program.id);
        }
      });
    };
    new ProgramRun({ events, home, onEnd, program }).start();
  }

  private noteProgram({ arrivesAt, id, workspace }: Program, isFinished: boolean): void {
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
    for (let number = 0; number < modelReplicas; number++) {
      const id = `model-${number}` as UpstreamId;
      const upstream = new SimulatedEngine(this.events, engineSpeed, {
        onEvicted: digest => {
          this.evictions.push({ digest, replica: id });
        },
        onTokens: (count, milliseconds) => {
          this.measurements.addTokens(count, milliseconds);
        },
      });
      this.replicas.set(id, { id, service: 'model', upstream, zone: this.zoneOf(number) });
    }
    for (let number = 0; number < plainReplicas; number++) {
      const id = `plain-${number}` as UpstreamId;
      const upstream = new SimulatedService(this.events, PLAIN_WORKERS);
      this.replicas.set(id, { id, service: 'plain', upstream, zone: this.zoneOf(number) });
    }
  }

  private zoneOf(number: number): PlacedReplica['zone'] {
    const { zones } = this.options.deployment;
    return zones[number % zones.length] ?? ('' as PlacedReplica['zone']);
  }

  private createInstance(number: number): SimulatedInstance {
    const { deployment, policy } = this.options;
    const zone = this.zoneOf(number);
    const scheduler = (slotsPerReplica: number): ReturnType<typeof createScheduler> =>
      createScheduler(policy, {
        instanceNumber: number,
        random: this.random,
        slotsPerReplica,
        window: {
          callMilliseconds: CALL_MILLISECONDS,
          instances: deployment.instances,
          maxCalls: slotsPerReplica,
          targetWaiting: TARGET_WAITING,
        },
        zone,
      });
    const retryBudget = new RetryBudget({
      instances: deployment.instances,
      maxSaved: RETRIES_SAVED,
      reservePerSecond: RETRY_RESERVE_PER_SECOND,
      share: RETRY_SHARE,
    });
    return new SimulatedInstance({
      events: this.events,
      id: `instance-${number}` as IncarnationId,
      measurements: this.measurements,
      replicas: this.replicas,
      retryBudget: policy === 'naive' ? undefined : retryBudget,
      schedulers: { model: scheduler(engineSpeed.slots), plain: scheduler(PLAIN_WORKERS) },
      zone,
      zoneMilliseconds: deployment.zoneMilliseconds,
    });
  }

  private listReplicas(): void {
    for (const { options } of this.instances) {
      for (const service of ['model', 'plain'] as const) {
        const listed = [...this.replicas.values()].filter(replica => replica.service === service);
        options.schedulers[service].update(listed);
      }
    }
  }

  private planLosses(): void {
    const { losses } = this.options;
    if (losses === undefined) {
      return;
    }
    const lost = [...this.replicas.values()].slice(0, losses.count);
    this.events.after(losses.at, () => {
      for (const { upstream } of lost) {
        upstream.kill();
      }
    });
    this.events.after(losses.at + LIST_LAG_MILLISECONDS, () => {
      for (const { id } of lost) {
        this.replicas.delete(id);
      }
      this.listReplicas();
    });
  }

  private publishReports(): void {
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
        this.pumpAll(instance);
      }
    });
  }

  private gossip(): void {
    const evictions = this.evictions.filter(() => this.random.uniform() >= CACHE_EVENT_GAPS);
    this.evictions = [];
    const told = this.instances.map(({ options, use }) => ({
      id: options.id,
      totals: use.listRecentTotals(TOLD_WORKSPACES),
    }));
    this.events.after(GOSSIP_LAG_MILLISECONDS, () => {
      for (const { options, use } of this.instances) {
        for (const { id, totals } of told.filter(({ id }) => id !== options.id)) {
          use.applyTotals(id, totals);
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

  private pumpAll(instance: SimulatedInstance): void {
    for (const service of [
      'model',
      'plain',
    ] as const satisfies readonly SimulatedCall['service'][]) {
      instance.pump(service);
    }
  }

  private every(milliseconds: number, run: () => void): void {
    this.events.after(milliseconds, () => {
      run();
      this.every(milliseconds, run);
    });
  }
}

/** Programs of one workspace alone. */
export function programsOf(
  programs: readonly Program[],
  workspace: WorkspaceName,
): readonly Program[] {
  return programs.filter(program => program.workspace === workspace);
}
