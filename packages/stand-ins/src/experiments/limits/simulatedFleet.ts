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

/** Options of a {@link SimulatedFleet}. */
export interface SimulatedFleetOptions {
  readonly mechanism: MechanismName;
  readonly instances: number;
  readonly limits: WorkspaceLimits;
  readonly random: RandomSource;
  readonly seatTerms?: LeaseTerms;
  /** Maximum drift of a process clock in either direction, as a fraction. */
  readonly drift: number;
}

/** One instance, whose process changes at each restart. */
export interface SimulatedInstance {
  readonly name: string;
  process: SimulatedProcess;
  mechanism: Mechanism;
  limits: WorkspaceLimits;
  isLeaving: boolean;
}

/** Outcome of a request. */
export type RequestOutcome = 'granted' | 'refused' | 'unanswered';

const HEARTBEAT_MILLISECONDS = 500;
const SUSPECT_AFTER_MILLISECONDS = 2_000;
const MINIMUM_LATENCY_MILLISECONDS = 0.5;
const LATENCY_SPREAD_MILLISECONDS = 1;
const LOAN_TIMEOUT_MILLISECONDS = 300;
const TABLE_LATENCY_MILLISECONDS = 5;
const MAXIMUM_CLOCK_OFFSET_MILLISECONDS = 1_000_000;

/** Fleet in one process on manual time; only processes, messages and faults are simulated. */
export class SimulatedFleet {
  public readonly timers = new ManualTimerService();
  public readonly instances: SimulatedInstance[] = [];
  public readonly checkers = new Map<string, GrantChecker>();
  /** Faults of the table service, the same for all instances. */
  public readonly faults = new FaultSwitch(this.timers);
  public readonly table = new MemoryTable();
  /** Number of messages sent between instances, both requests and responses. */
  public messages = 0;
  /** Number of reads and writes at the table service. */
  public tableOperations = 0;
  private readonly partitionedPairs = new Set<string>();
  private readonly lastHeartbeatAt = new Map<string, number>();
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
    this.sendHeartbeats();
    this.timers.every(HEARTBEAT_MILLISECONDS, () => {
      this.sendHeartbeats();
    });
  }

  /** Cuts or restores the connection between two instances, in both directions. */
  public setPartitioned(left: string, right: string, isPartitioned: boolean): void {
    for (const pair of [`${left}>${right}`, `${right}>${left}`]) {
      if (isPartitioned) {
        this.partitionedPairs.add(pair);
      } else {
        this.partitionedPairs.delete(pair);
      }
    }
  }

  /** Restores every connection. */
  public healAllPartitions(): void {
    this.partitionedPairs.clear();
  }

  /** Replaces the process of an instance by a new one; kills the old one if it still runs. */
  public restart(instance: SimulatedInstance): void {
    instance.process.kill();
    Object.assign(instance, this.createProcess(instance.name));
    instance.isLeaving = false;
    instance.mechanism.configure(instance.limits);
    this.resizeCheckers();
  }

  /** Kills the process of an instance without a clean stop. */
  public crash(instance: SimulatedInstance): void {
    instance.process.kill();
    this.resizeCheckers();
  }

  /** Marks an instance as leaving and releases its leases, as a planned stop does. */
  public async drain(instance: SimulatedInstance): Promise<void> {
    instance.isLeaving = true;
    await instance.mechanism.release();
  }

  /** Applies rates and bursts at one instance. */
  public configure(instance: SimulatedInstance, limits: WorkspaceLimits): void {
    instance.process.run(() => {
      instance.limits = limits;
      this.resizeCheckers();
      instance.mechanism.configure(limits);
      this.resizeCheckers();
    });
  }

  /** Sends a request to an instance and calls back with its outcome. */
  public request(
    instance: SimulatedInstance,
    workspace: string,
    waitMilliseconds: number,
    onOutcome: (outcome: RequestOutcome) => void,
  ): void {
    const { mechanism, process } = instance;
    process.run(() => {
      void mechanism.admit(workspace, waitMilliseconds).then(decision => {
        if (process.state === 'dead') {
          return;
        }
        if (decision.status === 'granted') {
          this.checkers.get(workspace)?.recordGrant(this.timers.now());
        }
        onOutcome(decision.status);
      });
    });
  }

  private createProcess(name: string): { process: SimulatedProcess; mechanism: Mechanism } {
    const { drift, mechanism, random, seatTerms } = this.options;
    const processNumber = ++this.processCount;
    const process = new SimulatedProcess(this.timers, {
      drift: (random.uniform() * 2 - 1) * drift,
      offsetMilliseconds: random.uniform() * MAXIMUM_CLOCK_OFFSET_MILLISECONDS,
    });
    const newMechanism = createMechanism(
      mechanism,
      {
        address: name,
        eligible: () => this.listEligible(name),
        processNumber,
        incarnation: `${name}.${processNumber}`,
        instance: name,
        loans: { borrow: async (lender, request) => this.borrow(name, process, lender, request) },
        table: this.createTable(process),
        timers: process,
      },
      seatTerms,
    );
    process.every(HEARTBEAT_MILLISECONDS, () => {
      newMechanism.tick();
    });
    process.after(0, () => {
      newMechanism.tick();
    });
    return { mechanism: newMechanism, process };
  }

  private createTable(process: SimulatedProcess): TableService {
    const inner = new MemoryTableService(this.table, this.faults);
    const countOperation = async <Value>(
      outcome: Promise<Result<Value, PlatformError>>,
    ): Promise<Result<Value, PlatformError>> => {
      this.tableOperations++;
      return await process.receive(outcome);
    };
    return {
      read: async (keys: readonly string[]): Promise<Result<readonly Row[], PlatformError>> =>
        countOperation(inner.read(keys)),
      scan: async (request: ScanRequest): Promise<Result<ScanPage, PlatformError>> =>
        countOperation(inner.scan(request)),
      transact: async (
        transaction: Transaction,
      ): Promise<Result<TransactionOutcome, PlatformError>> =>
        countOperation(inner.transact(transaction)),
    };
  }

  private async borrow(
    borrower: string,
    process: SimulatedProcess,
    lender: string,
    request: LoanRequest,
  ): Promise<Loan | undefined> {
    return await new Promise(resolve => {
      let isSettled = false;
      const settle = (loan: Loan | undefined): void => {
        if (!isSettled) {
          isSettled = true;
          timeout.stop();
          resolve(loan);
        }
      };
      const timeout = process.after(LOAN_TIMEOUT_MILLISECONDS, () => {
        settle(undefined);
      });
      this.send(borrower, lender, target => {
        const loan = target.mechanism.lend(request);
        this.send(lender, borrower, () => {
          process.run(() => {
            settle(loan);
          });
        });
      });
    });
  }

  private send(from: string, to: string, deliver: (target: SimulatedInstance) => void): void {
    this.messages++;
    const latencyMilliseconds =
      MINIMUM_LATENCY_MILLISECONDS + this.options.random.uniform() * LATENCY_SPREAD_MILLISECONDS;
    this.timers.after(latencyMilliseconds, () => {
      const target = this.instances.find(instance => instance.name === to);
      if (target === undefined || this.partitionedPairs.has(`${from}>${to}`)) {
        return;
      }
      target.process.run(() => {
        deliver(target);
      });
    });
  }

  private sendHeartbeats(): void {
    for (const from of this.instances) {
      for (const to of this.instances) {
        if (
          from.process.state === 'running' &&
          !this.partitionedPairs.has(`${from.name}>${to.name}`)
        ) {
          this.lastHeartbeatAt.set(`${from.name}>${to.name}`, this.timers.now());
        }
      }
    }
  }

  private listEligible(observer: string): ReadonlySet<string> {
    const suspectedBefore = this.timers.now() - SUSPECT_AFTER_MILLISECONDS;
    const isAlive = (name: string): boolean =>
      name === observer ||
      (this.lastHeartbeatAt.get(`${name}>${observer}`) ?? Number.NEGATIVE_INFINITY) >=
        suspectedBefore;
    return new Set(
      this.instances
        .filter(instance => !instance.isLeaving && isAlive(instance.name))
        .map(instance => instance.name),
    );
  }

  /** Bounds the grants by the highest rate and the highest burst applied at any live process. */
  private resizeCheckers(): void {
    for (const [workspace, checker] of this.checkers) {
      const sizes = this.instances
        .filter(instance => instance.process.state !== 'dead')
        .map(instance => instance.limits.get(workspace))
        .filter((size): size is BucketSize => size !== undefined);
      checker.resize(this.timers.now(), {
        burst: Math.max(0, ...sizes.map(size => size.burst)),
        rate: Math.max(0, ...sizes.map(size => size.rate)),
      });
    }
  }
}
