import type { Fleet, FleetInstance } from '../launch/fleet.js';
import type { RandomSource } from '../util/randomSource.js';

import { controlStandIn } from '../launch/fleet.js';
import { pause } from './programDriver.js';

/** Faults that a soak test injects. */
export type SoakFault =
  | 'engine-lost-orders'
  | 'instance-freeze'
  | 'instance-kill'
  | 'instance-replacement'
  | 'platform-hang'
  | 'platform-lost-answers'
  | 'platform-outage'
  | 'service-lost-answers';

/** All faults; the seeded random choice depends on their order. */
export const soakFaults: readonly SoakFault[] = [
  'engine-lost-orders',
  'instance-freeze',
  'instance-kill',
  'instance-replacement',
  'platform-hang',
  'platform-lost-answers',
  'platform-outage',
  'service-lost-answers',
];

/** Options of a {@link FaultInjector}. */
export interface FaultInjectorOptions {
  readonly fleet: Fleet;
  readonly random: RandomSource;
  readonly isOver: () => boolean;
  /** Called with every injected fault. */
  readonly report: (fault: SoakFault, detail: string) => void;
  /** Called with an instance whose planned stop did not finish in time. */
  readonly reportStopTimeout: (instance: string) => void;
}

const MAXIMUM_PAUSE_MILLISECONDS = 4_000;
const MAXIMUM_FREEZE_MILLISECONDS = 12_000;
const MAXIMUM_OUTAGE_MILLISECONDS = 10_000;
const MAXIMUM_LOST_MESSAGES = 5;
/** Exceeds the sum of the longest call, the longest outage and the handover. */
const PLANNED_STOP_TIMEOUT_MILLISECONDS = 60_000;

/** Injects random faults, at most two at a time, until the run is over. */
export class FaultInjector {
  /** Instances with a fault in progress; no second fault is injected into them. */
  private readonly faultedInstances = new Set<FleetInstance>();

  public constructor(private readonly options: FaultInjectorOptions) {}

  /** Injects faults until the run is over, then switches off the faults of the platform. */
  public async run(): Promise<void> {
    const { isOver, random } = this.options;
    const inProgress = new Set<Promise<void>>();
    while (!isOver()) {
      await pause(random.below(MAXIMUM_PAUSE_MILLISECONDS));
      const fault = this.inject(random.pick(soakFaults)).finally(() => inProgress.delete(fault));
      inProgress.add(fault);
      if (inProgress.size > 1) {
        await Promise.race(inProgress);
      }
    }
    await Promise.all(inProgress);
    await this.options.fleet.controlPlatform('faults', {
      errors: 0,
      lostAnswers: 0,
      outage: 'none',
    });
  }

  private async inject(fault: SoakFault): Promise<void> {
    const { fleet, random } = this.options;
    switch (fault) {
      case 'instance-kill':
        await this.withInstance(fault, async instance => {
          await instance.process.kill();
          fleet.restart(instance);
        });
        return;
      case 'instance-freeze':
        await this.withInstance(fault, async instance => {
          instance.process.signal('SIGSTOP');
          await pause(random.below(MAXIMUM_FREEZE_MILLISECONDS));
          instance.process.signal('SIGCONT');
        });
        return;
      case 'instance-replacement':
        await this.withInstance(fault, async instance => {
          instance.process.signal('SIGTERM');
          await this.waitForPlannedStop(instance);
          fleet.restart(instance);
        });
        return;
      case 'platform-hang':
        await this.causePlatformOutage(fault, 'hang');
        return;
      case 'platform-outage':
        await this.causePlatformOutage(fault, 'refuse');
        return;
      case 'platform-lost-answers':
        this.options.report(fault, '');
        await fleet.controlPlatform('faults', {
          lostAnswers: 1 + random.below(MAXIMUM_LOST_MESSAGES),
        });
        return;
      case 'engine-lost-orders':
        await this.setUpstreamBehaviour(fault, 'minutes-llm', {
          lostOrders: MAXIMUM_LOST_MESSAGES,
        });
        return;
      case 'service-lost-answers':
        await this.setUpstreamBehaviour(fault, 'ticket-app', { lostAnswers: 1 });
        return;
    }
  }

  private async withInstance(
    fault: SoakFault,
    action: (instance: FleetInstance) => Promise<void>,
  ): Promise<void> {
    const free = this.options.fleet.instances.filter(
      instance => !this.faultedInstances.has(instance),
    );
    if (free.length === 0) {
      return;
    }
    const instance = this.options.random.pick(free);
    this.faultedInstances.add(instance);
    this.options.report(fault, instance.id);
    await action(instance).finally(() => this.faultedInstances.delete(instance));
  }

  /**
   * Waits for a planned stop; after a timeout, reports and kills the instance so the run continues.
   */
  private async waitForPlannedStop(instance: FleetInstance): Promise<void> {
    const hasEnded = await Promise.race([
      instance.process.waitForExit().then(() => true),
      pause(PLANNED_STOP_TIMEOUT_MILLISECONDS).then(() => false),
    ]);
    if (!hasEnded) {
      this.options.reportStopTimeout(instance.id);
      await instance.process.kill();
    }
  }

  private async causePlatformOutage(fault: SoakFault, outage: 'hang' | 'refuse'): Promise<void> {
    const { fleet, random, report } = this.options;
    report(fault, '');
    await fleet.controlPlatform('faults', { outage });
    await pause(random.below(MAXIMUM_OUTAGE_MILLISECONDS));
    await fleet.controlPlatform('faults', { outage: 'none' });
  }

  private async setUpstreamBehaviour(
    fault: SoakFault,
    service: string,
    behaviour: Readonly<Record<string, number>>,
  ): Promise<void> {
    const replicas = this.options.fleet.upstreams.filter(each => each.service === service);
    const upstream = this.options.random.pick(replicas);
    this.options.report(fault, upstream.id);
    await controlStandIn(upstream.standIn.address, 'behaviour', behaviour);
  }
}
