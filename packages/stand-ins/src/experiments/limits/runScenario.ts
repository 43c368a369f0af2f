import type { BucketSize, LeaseTerms } from '@zincring/coordination';

import type { MechanismName } from './mechanisms.js';
import type { Scenario } from './scenarios.js';
import type { SimulatedInstance } from './simulatedFleet.js';

import { PerfectLimiter } from './grantChecker.js';
import { RandomSource } from '../../util/randomSource.js';
import { SimulatedFleet } from './simulatedFleet.js';

/** What one mechanism did in one scenario. */
export interface ScenarioFigures {
  readonly requests: number;
  readonly granted: number;
  /** Grants above rate × window + burst. */
  readonly overBound: number;
  /** Requests refused that a single perfect bucket would have granted. */
  readonly wronglyRefused: number;
  /** Requests that the perfect bucket would have granted. */
  readonly perfectlyGranted: number;
  /** Mean time that granted requests waited, in milliseconds. */
  readonly meanWaitMilliseconds: number;
  readonly messagesPerSecond: number;
  readonly tableOperationsPerSecond: number;
}

/** What to run. */
export interface ScenarioRun {
  readonly mechanism: MechanismName;
  readonly scenario: Scenario;
  readonly seed: number;
  readonly instances: number;
  readonly limits: ReadonlyMap<string, BucketSize>;
  readonly seatTerms?: LeaseTerms;
}

/** Time for seats to be taken before the first request, in milliseconds. */
const WARM_UP_MILLISECONDS = 15_000;
/** Longest wait of a request, in milliseconds. */
const WAIT_MILLISECONDS = 2_000;
const CLOCK_DRIFT = 0.0005;

/** Runs one mechanism through one scenario. */
export async function runScenario(run: ScenarioRun): Promise<ScenarioFigures> {
  const random = new RandomSource(run.seed);
  const fleet = new SimulatedFleet({ ...run, drift: CLOCK_DRIFT, random });
  await fleet.timers.advance(WARM_UP_MILLISECONDS);
  fleet.messages = 0;
  fleet.tableOperations = 0;
  const load = new OfferedLoad(run, fleet);
  run.scenario.disturb(fleet);
  load.start();
  await fleet.timers.advance(run.scenario.durationMilliseconds);
  load.stop();
  await fleet.timers.advance(2 * WAIT_MILLISECONDS);
  return load.figures();
}

/** Poisson requests of every workspace, judged against a perfect bucket. */
class OfferedLoad {
  private readonly startedAt: number;
  private readonly arrivals: RandomSource;
  private isStopped = false;
  private requests = 0;
  private granted = 0;
  private wronglyRefused = 0;
  private perfectlyGranted = 0;
  private waited = 0;

  public constructor(
    private readonly run: ScenarioRun,
    private readonly fleet: SimulatedFleet,
  ) {
    this.startedAt = fleet.timers.now();
    // Its own source, so that every mechanism sees the same requests.
    this.arrivals = new RandomSource(run.seed + 1);
  }

  public start(): void {
    for (const [index, [workspace, size]] of [...this.run.limits].entries()) {
      const perfect = new PerfectLimiter(size);
      const source = new RandomSource(this.run.seed + 100 + index);
      this.scheduleNext(workspace, size, index, perfect, source);
    }
  }

  /** Sends nothing more; requests that wait are still answered. */
  public stop(): void {
    this.isStopped = true;
  }

  public figures(): ScenarioFigures {
    const seconds = (this.fleet.timers.now() - this.startedAt) / 1_000;
    let overBound = 0;
    for (const checker of this.fleet.checkers.values()) {
      overBound += checker.violations;
    }
    return {
      granted: this.granted,
      meanWaitMilliseconds: this.waited / Math.max(1, this.granted),
      messagesPerSecond: this.fleet.messages / seconds,
      overBound,
      perfectlyGranted: this.perfectlyGranted,
      requests: this.requests,
      tableOperationsPerSecond: this.fleet.tableOperations / seconds,
      wronglyRefused: this.wronglyRefused,
    };
  }

  private scheduleNext(
    workspace: string,
    size: BucketSize,
    index: number,
    perfect: PerfectLimiter,
    source: RandomSource,
  ): void {
    this.fleet.timers.after(
      source.exponential(1_000 / (size.rate * this.run.scenario.load)),
      () => {
        this.send(workspace, index, perfect);
        this.scheduleNext(workspace, size, index, perfect, source);
      },
    );
  }

  private send(workspace: string, index: number, perfect: PerfectLimiter): void {
    const sentAt = this.fleet.timers.now();
    const target = this.choose(index);
    if (target === undefined || this.isStopped) {
      return;
    }
    const isPerfect = perfect.admit(sentAt, WAIT_MILLISECONDS);
    this.requests++;
    this.perfectlyGranted += isPerfect ? 1 : 0;
    this.fleet.request(target, workspace, WAIT_MILLISECONDS, outcome => {
      if (outcome === 'granted') {
        this.granted++;
        this.waited += this.fleet.timers.now() - sentAt;
      } else if (isPerfect) {
        this.wronglyRefused++;
      }
    });
  }

  /** The balancer: instances that run and are not leaving. */
  private choose(index: number): SimulatedInstance | undefined {
    const ready = this.fleet.instances.filter(
      each => each.process.state === 'running' && !each.isLeaving,
    );
    const place = this.run.scenario.isSkewed ? index : this.arrivals.below(ready.length);
    return ready[place % Math.max(1, ready.length)];
  }
}
