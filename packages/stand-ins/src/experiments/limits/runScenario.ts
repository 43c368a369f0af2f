import type { BucketSize, LeaseTerms } from '@zincring/coordination';

import type { MechanismName } from './mechanisms.js';
import type { Scenario } from './scenarios.js';
import type { SimulatedInstance } from './simulatedFleet.js';

import { ReferenceLimiter } from './grantChecker.js';
import { RandomSource } from '../../util/randomSource.js';
import { SimulatedFleet } from './simulatedFleet.js';

/** Result of one mechanism in one scenario. */
export interface ScenarioResult {
  readonly requests: number;
  readonly granted: number;
  /** Number of grants above rate × window + burst. */
  readonly overBound: number;
  /** Number of refused requests that the reference limiter grants. */
  readonly wronglyRefused: number;
  /** Number of requests that the reference limiter grants. */
  readonly grantedByReference: number;
  /** Mean time that granted requests waited, in milliseconds. */
  readonly meanWaitMilliseconds: number;
  readonly messagesPerSecond: number;
  readonly tableOperationsPerSecond: number;
}

/** Options of {@link runScenario}. */
export interface ScenarioRunOptions {
  readonly mechanism: MechanismName;
  readonly scenario: Scenario;
  readonly seed: number;
  readonly instances: number;
  readonly limits: ReadonlyMap<string, BucketSize>;
  readonly seatTerms?: LeaseTerms;
}

/** Time before the first request in which instances acquire their seats, in milliseconds. */
const WARM_UP_MILLISECONDS = 15_000;
/** Maximum time that a request waits for a token, in milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 2_000;
const MAXIMUM_CLOCK_DRIFT = 0.0005;

/** Runs one mechanism through one scenario. */
export async function runScenario(options: ScenarioRunOptions): Promise<ScenarioResult> {
  const random = new RandomSource(options.seed);
  const fleet = new SimulatedFleet({ ...options, drift: MAXIMUM_CLOCK_DRIFT, random });
  await fleet.timers.advance(WARM_UP_MILLISECONDS);
  fleet.messages = 0;
  fleet.tableOperations = 0;
  const load = new OfferedLoad(options, fleet);
  options.scenario.scheduleFaults(fleet);
  load.start();
  await fleet.timers.advance(options.scenario.durationMilliseconds);
  load.stop();
  await fleet.timers.advance(2 * MAXIMUM_WAIT_MILLISECONDS);
  return load.result();
}

/** Sends Poisson requests of every workspace and compares the outcomes with a reference limiter. */
class OfferedLoad {
  private readonly startedAt: number;
  private readonly targetRandom: RandomSource;
  private isStopped = false;
  private requests = 0;
  private granted = 0;
  private wronglyRefused = 0;
  private grantedByReference = 0;
  private totalWaitMilliseconds = 0;

  public constructor(
    private readonly options: ScenarioRunOptions,
    private readonly fleet: SimulatedFleet,
  ) {
    this.startedAt = fleet.timers.now();
    // A separate source, so that all mechanisms receive the same requests.
    this.targetRandom = new RandomSource(options.seed + 1);
  }

  public start(): void {
    for (const [workspaceIndex, [workspace, size]] of [...this.options.limits].entries()) {
      const reference = new ReferenceLimiter(size);
      const arrivalRandom = new RandomSource(this.options.seed + 100 + workspaceIndex);
      this.scheduleNext(workspace, size, workspaceIndex, reference, arrivalRandom);
    }
  }

  /** Sends no further requests; waiting requests still get a response. */
  public stop(): void {
    this.isStopped = true;
  }

  public result(): ScenarioResult {
    const seconds = (this.fleet.timers.now() - this.startedAt) / 1_000;
    let overBound = 0;
    for (const checker of this.fleet.checkers.values()) {
      overBound += checker.violations;
    }
    return {
      granted: this.granted,
      meanWaitMilliseconds: this.totalWaitMilliseconds / Math.max(1, this.granted),
      messagesPerSecond: this.fleet.messages / seconds,
      overBound,
      grantedByReference: this.grantedByReference,
      requests: this.requests,
      tableOperationsPerSecond: this.fleet.tableOperations / seconds,
      wronglyRefused: this.wronglyRefused,
    };
  }

  private scheduleNext(
    workspace: string,
    size: BucketSize,
    workspaceIndex: number,
    reference: ReferenceLimiter,
    arrivalRandom: RandomSource,
  ): void {
    this.fleet.timers.after(
      arrivalRandom.exponential(1_000 / (size.rate * this.options.scenario.load)),
      () => {
        this.send(workspace, workspaceIndex, reference);
        this.scheduleNext(workspace, size, workspaceIndex, reference, arrivalRandom);
      },
    );
  }

  private send(workspace: string, workspaceIndex: number, reference: ReferenceLimiter): void {
    const sentAt = this.fleet.timers.now();
    const target = this.chooseInstance(workspaceIndex);
    if (target === undefined || this.isStopped) {
      return;
    }
    const isGrantedByReference = reference.admit(sentAt, MAXIMUM_WAIT_MILLISECONDS);
    this.requests++;
    this.grantedByReference += isGrantedByReference ? 1 : 0;
    this.fleet.request(target, workspace, MAXIMUM_WAIT_MILLISECONDS, outcome => {
      if (outcome === 'granted') {
        this.granted++;
        this.totalWaitMilliseconds += this.fleet.timers.now() - sentAt;
      } else if (isGrantedByReference) {
        this.wronglyRefused++;
      }
    });
  }

  /** Chooses an instance as the load balancer does: among those that run and are not leaving. */
  private chooseInstance(workspaceIndex: number): SimulatedInstance | undefined {
    const ready = this.fleet.instances.filter(
      instance => instance.process.state === 'running' && !instance.isLeaving,
    );
    const position = this.options.scenario.isSkewed
      ? workspaceIndex
      : this.targetRandom.below(ready.length);
    return ready[position % Math.max(1, ready.length)];
  }
}
