import type { Fleet, FleetInstance } from '../launch/fleet.js';
import type { RandomSource } from '../util/randomSource.js';

import { controlStandIn } from '../launch/fleet.js';
import { pause } from './programDriver.js';

/** Faults that a soak injects. */
export type SoakFault =
  | 'engine-lost-orders'
  | 'instance-freeze'
  | 'instance-kill'
  | 'instance-replacement'
  | 'platform-hang'
  | 'platform-lost-answers'
  | 'platform-outage'
  | 'service-lost-answers';

/** Every fault, in the order of the report. */
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

/** What injecting faults needs. */
export interface FaultInjectorOptions {
  readonly fleet: Fleet;
  readonly random: RandomSource;
  readonly isOver: () => boolean;
  /** Called with every fault. */
  readonly report: (fault: SoakFault, detail: string) => void;
  /** Called with an instance whose planned stop did not end. */
  readonly reportEndlessStop: (instance: string) => void;
}

const LONGEST_PAUSE_MILLISECONDS = 4_000;
const LONGEST_FREEZE_MILLISECONDS = 12_000;
const LONGEST_OUTAGE_MILLISECONDS = 10_000;
const MOST_LOST_ANSWERS = 5;
/** Longest call, longest outage and handover together, in milliseconds. */
const LONGEST_PLANNED_STOP_MILLISECONDS = 60_000;

/** Injects random faults, sometimes two at a time, until the run is over. */
export class FaultInjector {
  /** Instances that a fault has in its hands; no second one takes them meanwhile. */
  private readonly busy = new Set<FleetInstance>();

  public constructor(private readonly options: FaultInjectorOptions) {}

  /** Injects faults until the run is over, then heals everything. */
  public async run(): Promise<void> {
    const { isOver, random } = this.options;
    const running = new Set<Promise<void>>();
    while (!isOver()) {
      await pause(random.below(LONGEST_PAUSE_MILLISECONDS));
      const fault = this.inject(random.pick(soakFaults)).finally(() => running.delete(fault));
      running.add(fault);
      if (running.size > 1) {
        await Promise.race(running);
      }
    }
    await Promise.all(running);
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
          await pause(random.below(LONGEST_FREEZE_MILLISECONDS));
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
        await this.platformOutage(fault, 'hang');
        return;
      case 'platform-outage':
        await this.platformOutage(fault, 'refuse');
        return;
      case 'platform-lost-answers':
        this.options.report(fault, '');
        await fleet.controlPlatform('faults', { lostAnswers: 1 + random.below(MOST_LOST_ANSWERS) });
        return;
      case 'engine-lost-orders':
        await this.switchUpstream(fault, 'minutes-llm', { lostOrders: MOST_LOST_ANSWERS });
        return;
      case 'service-lost-answers':
        await this.switchUpstream(fault, 'ticket-app', { lostAnswers: 1 });
        return;
    }
  }

  private async withInstance(
    fault: SoakFault,
    act: (instance: FleetInstance) => Promise<void>,
  ): Promise<void> {
    const free = this.options.fleet.instances.filter(instance => !this.busy.has(instance));
    if (free.length === 0) {
      return;
    }
    const instance = this.options.random.pick(free);
    this.busy.add(instance);
    this.options.report(fault, instance.id);
    await act(instance).finally(() => this.busy.delete(instance));
  }

  /** A planned stop that does not end is reported and ended, so that the run can go on. */
  private async waitForPlannedStop(instance: FleetInstance): Promise<void> {
    const hasEnded = await Promise.race([
      instance.process.waitForExit().then(() => true),
      pause(LONGEST_PLANNED_STOP_MILLISECONDS).then(() => false),
    ]);
    if (!hasEnded) {
      this.options.reportEndlessStop(instance.id);
      await instance.process.kill();
    }
  }

  private async platformOutage(fault: SoakFault, outage: 'hang' | 'refuse'): Promise<void> {
    const { fleet, random, report } = this.options;
    report(fault, '');
    await fleet.controlPlatform('faults', { outage });
    await pause(random.below(LONGEST_OUTAGE_MILLISECONDS));
    await fleet.controlPlatform('faults', { outage: 'none' });
  }

  private async switchUpstream(
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
