import type {
  BucketSize,
  LeaseTerms,
  Loan,
  LoanRequest,
  WorkspaceLimits,
} from '@zincring/coordination';
import type { Result } from '@zincring/core';
import type {
  PlatformError,
  Row,
  ScanPage,
  ScanRequest,
  TableService,
  Transaction,
  TransactionOutcome,
} from '@zincring/platform';

import { ManualTimerService } from '@zincring/core';

import type { Mechanism, MechanismName } from './mechanisms.js';
import type { RandomSource } from '../../util/randomSource.js';

import { FaultSwitch } from '../../platform/faultSwitch.js';
import { MemoryTableService } from '../../platform/memoryPlatform.js';
import { MemoryTable } from '../../platform/memoryTable.js';
import { GrantChecker } from './grantChecker.js';
import { createMechanism } from './mechanisms.js';
import { SimulatedProcess } from './simulatedProcess.js';

/** What a simulated fleet is made of. */
export interface SimulatedFleetOptions {
  readonly mechanism: MechanismName;
  readonly instances: number;
  readonly limits: WorkspaceLimits;
  readonly random: RandomSource;
  readonly seatTerms?: LeaseTerms;
  /** Largest drift of a clock, as a part. */
  readonly drift: number;
}

/** One instance over its processes. */
export interface SimulatedInstance {
  readonly name: string;
  process: SimulatedProcess;
  mechanism: Mechanism;
  limits: WorkspaceLimits;
  isLeaving: boolean;
}

/** What became of a request. */
export type RequestOutcome = 'granted' | 'refused' | 'unanswered';

const HEARTBEAT_MILLISECONDS = 500;
const SUSPECT_MILLISECONDS = 2_000;
const LEAST_LATENCY_MILLISECONDS = 0.5;
const LATENCY_SPREAD_MILLISECONDS = 1;
const LOAN_TIMEOUT_MILLISECONDS = 300;
const TABLE_LATENCY_MILLISECONDS = 5;
const CLOCK_SPREAD_MILLISECONDS = 1_000_000;

/** A fleet in one process on manual time: only processes, messages and faults are simulated. */
export class SimulatedFleet {
  public readonly timers = new ManualTimerService();
  public readonly instances: SimulatedInstance[] = [];
  public readonly checkers = new Map<string, GrantChecker>();
  /** Faults of the table service, for all. */
  public readonly faults = new FaultSwitch(this.timers);
  public readonly table = new MemoryTable();
  /** Messages between instances, requests and answers. */
  public messages = 0;
  /** Reads and writes at the table service. */
  public tableOperations = 0;
  private readonly cuts = new Set<string>();
  private readonly heardAt = new Map<string, number>();
  private processCount = 0;

  public constructor(private readonly options: SimulatedFleetOptions) {
    this.faults.set({ latencyMilliseconds: TABLE_LATENCY_MILLISECONDS });
    for (const [workspace, size] of options.limits) {
      this.checkers.set(workspace, new GrantChecker(size));
    }
    for (let index = 0; index < options.instances; index++) {
      const name = `entry-${index + 1}`;
      this.instances.push({
        ...this.createProcess(name),
        isLeaving: false,
        limits: options.limits,
        name,
      });
    }
    this.instances.forEach(instance => {
      instance.mechanism.configure(instance.limits);
    });
    this.beat();
    this.timers.every(HEARTBEAT_MILLISECONDS, () => {
      this.beat();
    });
  }

  /** Cuts or mends the connection between two instances. */
  public setCut(left: string, right: string, isCut: boolean): void {
    for (const pair of [`${left}>${right}`, `${right}>${left}`]) {
      if (isCut) {
        this.cuts.add(pair);
      } else {
        this.cuts.delete(pair);
      }
    }
  }

  /** Mends every connection. */
  public mendAll(): void {
    this.cuts.clear();
  }

  /** Starts an instance again whose process has ended. */
  public restart(instance: SimulatedInstance): void {
    instance.process.kill();
    Object.assign(instance, this.createProcess(instance.name));
    instance.isLeaving = false;
    instance.mechanism.configure(instance.limits);
    this.updateCheckers();
  }

  /** Ends an instance's process without notice. */
  public crash(instance: SimulatedInstance): void {
    instance.process.kill();
    this.updateCheckers();
  }

  /** Shuts an instance down as a planned stop does. */
  public async drain(instance: SimulatedInstance): Promise<void> {
    instance.isLeaving = true;
    await instance.mechanism.release();
  }

  /** Puts rates and bursts in force at one instance. */
  public configure(instance: SimulatedInstance, limits: WorkspaceLimits): void {
    instance.process.run(() => {
      instance.limits = limits;
      this.updateCheckers();
      instance.mechanism.configure(limits);
      this.updateCheckers();
    });
  }

  /** Sends a request to an instance; calls back once it is answered. */
  public request(
    instance: SimulatedInstance,
    workspace: string,
    waitMilliseconds: number,
    onOutcome: (outcome: RequestOutcome) => void,
  ): void {
    const { mechanism, process } = instance;
    process.run(() => {
      void mechanism.admit(workspace, waitMilliseconds).then(admittance => {
        if (process.state === 'dead') {
          return;
        }
        if (admittance.status === 'granted') {
          this.checkers.get(workspace)?.grant(this.timers.now());
        }
        onOutcome(admittance.status);
      });
    });
  }

  private createProcess(name: string): { process: SimulatedProcess; mechanism: Mechanism } {
    const { drift, mechanism, random, seatTerms } = this.options;
    const generation = ++this.processCount;
    const process = new SimulatedProcess(this.timers, {
      drift: (random.uniform() * 2 - 1) * drift,
      offsetMilliseconds: random.uniform() * CLOCK_SPREAD_MILLISECONDS,
    });
    const created = createMechanism(
      mechanism,
      {
        address: name,
        eligible: () => this.eligible(name),
        generation,
        incarnation: `${name}.${generation}`,
        instance: name,
        loans: { borrow: async (lender, request) => this.borrow(name, process, lender, request) },
        table: this.createTable(process),
        timers: process,
      },
      seatTerms,
    );
    process.every(HEARTBEAT_MILLISECONDS, () => {
      created.tick();
    });
    process.after(0, () => {
      created.tick();
    });
    return { mechanism: created, process };
  }

  private createTable(process: SimulatedProcess): TableService {
    const inner = new MemoryTableService(this.table, this.faults);
    const count = async <Value>(
      outcome: Promise<Result<Value, PlatformError>>,
    ): Promise<Result<Value, PlatformError>> => {
      this.tableOperations++;
      return await process.receive(outcome);
    };
    return {
      read: async (keys: readonly string[]): Promise<Result<readonly Row[], PlatformError>> =>
        count(inner.read(keys)),
      scan: async (request: ScanRequest): Promise<Result<ScanPage, PlatformError>> =>
        count(inner.scan(request)),
      transact: async (
        transaction: Transaction,
      ): Promise<Result<TransactionOutcome, PlatformError>> => count(inner.transact(transaction)),
    };
  }

  private async borrow(
    name: string,
    process: SimulatedProcess,
    lender: string,
    request: LoanRequest,
  ): Promise<Loan | undefined> {
    return await new Promise(resolve => {
      let isAnswered = false;
      const answer = (loan: Loan | undefined): void => {
        if (!isAnswered) {
          isAnswered = true;
          timeout.stop();
          resolve(loan);
        }
      };
      const timeout = process.after(LOAN_TIMEOUT_MILLISECONDS, () => {
        answer(undefined);
      });
      this.send(name, lender, target => {
        const loan = target.mechanism.lend(request);
        this.send(lender, name, () => {
          process.run(() => {
            answer(loan);
          });
        });
      });
    });
  }

  private send(from: string, to: string, deliver: (target: SimulatedInstance) => void): void {
    this.messages++;
    const latency =
      LEAST_LATENCY_MILLISECONDS + this.options.random.uniform() * LATENCY_SPREAD_MILLISECONDS;
    this.timers.after(latency, () => {
      const target = this.instances.find(each => each.name === to);
      if (target === undefined || this.cuts.has(`${from}>${to}`)) {
        return;
      }
      target.process.run(() => {
        deliver(target);
      });
    });
  }

  private beat(): void {
    for (const from of this.instances) {
      for (const to of this.instances) {
        if (from.process.state === 'running' && !this.cuts.has(`${from.name}>${to.name}`)) {
          this.heardAt.set(`${from.name}>${to.name}`, this.timers.now());
        }
      }
    }
  }

  private eligible(self: string): ReadonlySet<string> {
    const oldest = this.timers.now() - SUSPECT_MILLISECONDS;
    const isHeard = (name: string): boolean =>
      name === self || (this.heardAt.get(`${name}>${self}`) ?? Number.NEGATIVE_INFINITY) >= oldest;
    return new Set(
      this.instances.filter(each => !each.isLeaving && isHeard(each.name)).map(each => each.name),
    );
  }

  /** The greatest rate and the greatest burst in force at any live process bound the grants. */
  private updateCheckers(): void {
    for (const [workspace, checker] of this.checkers) {
      const sizes = this.instances
        .filter(each => each.process.state !== 'dead')
        .map(each => each.limits.get(workspace))
        .filter((size): size is BucketSize => size !== undefined);
      checker.resize(this.timers.now(), {
        burst: Math.max(0, ...sizes.map(size => size.burst)),
        rate: Math.max(0, ...sizes.map(size => size.rate)),
      });
    }
  }
}
