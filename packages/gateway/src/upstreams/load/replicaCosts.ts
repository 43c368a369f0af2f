import type { Logger, ServiceName, TimerService } from '@zincring/core';
import type { CostEstimate, LearnedCostOptions, PromptExpectation } from '@zincring/scheduling';

import { defaultLearnedCostOptions, ReplicaSlowness, ServiceCosts } from '@zincring/scheduling';

import type { GatewayMetrics } from '../../observation/gatewayMetrics.js';
import type { ReplicaEntry, ReplicaRunId } from '../replica.js';
import type { SlownessReport } from './slownessReports.js';

import { ExchangeTiming } from './exchangeTiming.js';
import { isAcceptableReport, SlownessReports } from './slownessReports.js';

/** Dependencies of {@link ReplicaCosts}. */
export interface ReplicaCostsDependencies {
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'learnedMilliseconds' | 'slowReplicas'>;
  readonly timers: TimerService;
  readonly options?: LearnedCostOptions;
}

/** A request that is sent to a replica. */
export interface TimedRequest {
  /** Calls of one kind take about equally long. */
  readonly kind: string;
  /** Prompt of a turn at an engine; `undefined` for plain calls. */
  readonly prompt: PromptExpectation | undefined;
}

/** What is known of one run of a replica. */
interface KnownRun {
  readonly slowness: ReplicaSlowness;
  /** Absent while only other instances have told of the run. */
  service: ServiceName | undefined;
  /** Time of the last measurement, own or of another instance, on the monotonic clock, in milliseconds. */
  measuredAt: number;
}

/** Time between two measurements by others that are told apart, in milliseconds: one may be told by several replies. */
const REPORT_SPACING_MILLISECONDS = 50;
/** Time for which a comparison of all replicas is used again, in milliseconds. */
const COMPARISON_REUSE_MILLISECONDS = 50;
/** Maximum number of runs: far more than all services have. */
const MAXIMUM_RUNS = 10_000;

/**
 * Learns what turns and calls cost at each service, and how slow each run of a replica is, from the
 * exchanges of this instance. One instance sees few exchanges with each replica, so replies between
 * instances carry the few measurements that deviate. It answers loads under which replicas are uneven,
 * turn slow, or fail.
 *
 * @example
 * const timing = costs.begin(entry, { kind: 'reviews', prompt });
 * timing.recordEvent();
 * timing.complete();
 * costs.slownessOf(entry); // 1.8
 */
export class ReplicaCosts {
  private readonly options: LearnedCostOptions;
  private readonly services = new Map<ServiceName, ServiceCosts>();
  private readonly runs = new Map<ReplicaRunId, KnownRun>();
  private readonly reports: SlownessReports;
  private comparedAt = -Infinity;
  private hasUnevenRuns = false;

  public constructor(private readonly dependencies: ReplicaCostsDependencies) {
    this.options = dependencies.options ?? defaultLearnedCostOptions;
    this.reports = new SlownessReports(dependencies.timers);
  }

  /** What turns and calls of a service take at present. */
  public estimate(service: ServiceName): CostEstimate {
    return this.findOrAddService(service).estimate(this.dependencies.timers.now());
  }

  /** Factor on what the service takes that a replica takes; 1 while nothing else is known. */
  public slownessOf({ runId }: ReplicaEntry): number {
    return this.runs.get(runId)?.slowness.estimate(this.dependencies.timers.now()) ?? 1;
  }

  /** Whether some replica is not about as fast as the others. */
  public isUneven(now: number): boolean {
    if (now - this.comparedAt >= COMPARISON_REUSE_MILLISECONDS) {
      this.comparedAt = now;
      this.hasUnevenRuns = false;
      for (const { slowness } of this.runs.values()) {
        this.hasUnevenRuns ||= slowness.isSlow || slowness.estimate(now) !== 1;
      }
    }
    return this.hasUnevenRuns;
  }

  /** Finds what is known of the speed of a replica. */
  public findSlowness({ runId }: ReplicaEntry): ReplicaSlowness | undefined {
    return this.runs.get(runId)?.slowness;
  }

  /** Whether a replica is judged slow. */
  public isSlow({ runId }: ReplicaEntry): boolean {
    return this.runs.get(runId)?.slowness.isSlow ?? false;
  }

  /** Begins to measure an exchange with a replica. */
  public begin(entry: ReplicaEntry, request: TimedRequest): ExchangeTiming {
    const onRatio = (ratio: number): void => {
      this.recordOwn(entry, ratio);
    };
    const costs = this.findOrAddService(entry.service);
    return new ExchangeTiming(this.dependencies.timers, costs, request, onRatio);
  }

  /** Measurements that other instances should know; empty on most days. */
  public get ownReports(): readonly SlownessReport[] {
    return this.reports.list();
  }

  /** Takes in the measurements of another instance. */
  public hear(reports: readonly SlownessReport[]): void {
    const now = this.dependencies.timers.now();
    for (const report of reports) {
      const measuredAt = now - report.ageMilliseconds;
      const run = isAcceptableReport(report) ? this.findOrAddRun(report.run) : undefined;
      if (run !== undefined && measuredAt >= run.measuredAt + REPORT_SPACING_MILLISECONDS) {
        run.measuredAt = measuredAt;
        run.slowness.record(report.ratio, measuredAt);
        this.reports.pass(report.run, report.ratio, measuredAt);
        this.judge(report.run, run, 'others');
      }
    }
  }

  /** Discards what is known of all runs but the given ones, and updates the judgements and metrics. */
  public retain(runs: ReadonlySet<ReplicaRunId>): void {
    for (const [id, run] of this.runs) {
      if (runs.has(id)) {
        this.judge(id, run, 'age');
      } else {
        this.runs.delete(id);
      }
    }
    this.updateMetrics();
  }

  private recordOwn({ runId, service }: ReplicaEntry, ratio: number): void {
    const run = this.findOrAddRun(runId);
    if (run === undefined) {
      return;
    }
    run.service = service;
    run.measuredAt = this.dependencies.timers.now();
    run.slowness.record(ratio, run.measuredAt);
    this.judge(runId, run, 'own');
    this.reports.add(runId, ratio, run.slowness.isSlow);
  }

  private judge(id: ReplicaRunId, run: KnownRun, source: 'age' | 'others' | 'own'): void {
    const now = this.dependencies.timers.now();
    const verdict = run.slowness.judge(now);
    if (verdict === undefined) {
      return;
    }
    this.dependencies.logger.info(
      {
        age: Math.round(now - run.slowness.lastRecordedAt),
        event: verdict === 'slow' ? 'replica-slow' : 'replica-well',
        replica: id,
        samples: Number(run.slowness.weightAt(now).toFixed(1)),
        service: run.service,
        slowness: Number(run.slowness.estimate(now).toFixed(2)),
        source,
      },
      'the judgement on the speed of a replica changed',
    );
  }

  private updateMetrics(): void {
    const { learnedMilliseconds, slowReplicas } = this.dependencies.metrics;
    for (const [service, costs] of this.services) {
      const estimate = costs.estimate(this.dependencies.timers.now());
      learnedMilliseconds.set({ of: 'call', service }, estimate.callMilliseconds);
      learnedMilliseconds.set({ of: 'turn', service }, estimate.turnMilliseconds);
      learnedMilliseconds.set(
        { of: 'prompt-token', service },
        estimate.prefillMillisecondsPerToken,
      );
      const slow = [...this.runs.values()].filter(
        run => run.service === service && run.slowness.isSlow,
      );
      slowReplicas.set({ service }, slow.length);
    }
  }

  private findOrAddService(service: ServiceName): ServiceCosts {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const added = new ServiceCosts(this.options);
    this.services.set(service, added);
    return added;
  }

  private findOrAddRun(id: ReplicaRunId): KnownRun | undefined {
    const known = this.runs.get(id);
    if (known !== undefined || this.runs.size >= MAXIMUM_RUNS) {
      return known;
    }
    const added: KnownRun = {
      measuredAt: -Infinity,
      service: undefined,
      slowness: new ReplicaSlowness(this.options),
    };
    this.runs.set(id, added);
    return added;
  }
}
