import type {
  CallId,
  IncarnationId,
  KeyHash,
  ProgramId,
  ServiceName,
  TimerSubscription,
} from '@zincring/core';
import type { WorkspaceName } from '@zincring/core';

import { LogSweeper, shardOf, ShardLeases, WriteAheadLog } from '@zincring/coordination';
import { silentLogger, sleep, ZincringError } from '@zincring/core';
import { createConfiguration, parseRules } from '@zincring/rules';

import type { CallFrame, CallRequest } from '../../src/programs/programMessages.js';
import type {
  UpstreamDispatcher,
  UpstreamFrame,
  UpstreamWork,
} from '../../src/upstreams/upstreamMessages.js';
import type { SharedPlatform } from '../../../coordination/tests/leases/pausableNode.js';

import { ProgramHome } from '../../src/programs/programHome.js';
import {
  createSharedPlatform,
  deliverLateWrites,
  PausableNode,
} from '../../../coordination/tests/leases/pausableNode.js';

export const WORKSPACE = 'utility' as WorkspaceName;
export const ENGINE = 'minutes-llm' as ServiceName;
export const TICKETS = 'ticket-app' as ServiceName;
export const leaseTerms = {
  marginMilliseconds: 500,
  renewMilliseconds: 1_000,
  termMilliseconds: 5_000,
};
const SHARD_COUNT = 4;
const STEP_MILLISECONDS = 50;
const GROUP_MILLISECONDS = 5;
const SWEEP_MILLISECONDS = 700;

export const configuration = createConfiguration(
  1 as never,
  parseRules(`
workspace utility rate=100 burst=100 programs=20 # dana: pilot
workspace other rate=100 burst=100 # dana: pilot
service minutes-llm protocol=engine timeout=60 # omar: models
service ticket-app protocol=plain idempotent=no timeout=60 # omar: work orders
program trace services=minutes-llm,ticket-app tokens=4000 calls=40 # dana: traces
program tight services=minutes-llm tokens=400 calls=5 idle=60 lifetime=600 # dana: traces
`).unwrap(),
);

/** Counts the executions and tokens of the upstreams of all instances. */
export class UpstreamCounters {
  /** Number of executions by call. */
  public readonly executions = new Map<string, number>();
  /** Tokens generated and prefilled by program, whether or not their turn was stored. */
  public readonly tokens = new Map<string, number>();
}

/** Dispatcher to simulated upstreams, which respond after a latency and count their executions. */
class CountingDispatcher implements UpstreamDispatcher {
  public behaviour: 'answer' | 'break' | 'refuse' = 'answer';
  public latencyMilliseconds = 0;

  public constructor(
    private readonly node: PausableNode,
    private readonly counters: UpstreamCounters,
  ) {}

  public async *dispatch(work: UpstreamWork): AsyncGenerator<UpstreamFrame> {
    const prepared = await this.node.delayWhilePaused(work.beforeSend());
    if (prepared.err) {
      yield { error: prepared.val, kind: 'failed' };
      return;
    }
    if (this.behaviour === 'refuse') {
      yield { error: new ZincringError('upstream-unavailable'), kind: 'failed' };
      return;
    }
    const key = `${String(work.program)}/${work.call}`;
    this.counters.executions.set(key, (this.counters.executions.get(key) ?? 0) + 1);
    const usage = this.countUsage(work);
    await this.node.delayWhilePaused(sleep(this.node.timers, this.latencyMilliseconds));
    if (this.behaviour === 'break') {
      yield { error: new ZincringError('upstream-failed'), kind: 'failed' };
      return;
    }
    yield { data: Buffer.from(`answer to ${work.call}`), kind: 'data' };
    yield { kind: 'done', usage };
  }

  private countUsage(work: UpstreamWork): {
    cachedTokens: number;
    outputTokens: number;
    promptTokens: number;
  } {
    if (work.payload.protocol === 'plain') {
      return { cachedTokens: 0, outputTokens: 0, promptTokens: 0 };
    }
    const { maxTokens, segments } = work.payload;
    const promptTokens = segments.reduce((sum, text) => sum + Math.ceil(text.length / 4), 0);
    const program = String(work.program);
    const usedTokens = this.counters.tokens.get(program) ?? 0;
    this.counters.tokens.set(program, usedTokens + promptTokens + maxTokens);
    return { cachedTokens: 0, outputTokens: maxTokens, promptTokens };
  }
}

/** Key that authenticates all calls until it is withdrawn. */
export class WithdrawableKey {
  private readonly listeners = new Set<() => void>();
  private withdrawn = false;

  public isValid(): boolean {
    return !this.withdrawn;
  }

  public onWithdrawn(_keyHash: KeyHash, listener: () => void): TimerSubscription {
    this.listeners.add(listener);
    return { stop: () => this.listeners.delete(listener) };
  }

  public withdraw(): void {
    this.withdrawn = true;
    this.listeners.forEach(listener => {
      listener();
    });
  }

  public get size(): number {
    return this.listeners.size;
  }
}

/** Simulated instance that holds shards of programs. */
export class ProgramNode extends PausableNode {
  public readonly home: ProgramHome;
  public readonly leases: ShardLeases;
  public readonly dispatcher: CountingDispatcher;
  public readonly apiKey = new WithdrawableKey();
  public eligible: ReadonlySet<string>;
  public readonly endedPrograms: ProgramId[] = [];
  private incarnationCount = 0;

  public constructor(
    shared: SharedPlatform,
    counters: UpstreamCounters,
    public readonly name: string,
    maximumPending: number,
  ) {
    super(shared);
    this.eligible = new Set([name]);
    this.dispatcher = new CountingDispatcher(this, counters);
    this.home = new ProgramHome({
      keyWatch: this.apiKey,
      configuration: () => configuration,
      dispatcher: this.dispatcher,
      groupsPerReference: 5,
      recordsPerSnapshot: 3,
      endListener: { onProgramEnd: program => this.endedPrograms.push(program) },
      log: new WriteAheadLog({
        groupMilliseconds: GROUP_MILLISECONDS,
        incarnation: `${name}.log` as IncarnationId,
        logger: silentLogger,
        maximumPending,
        objects: this.objects,
        retryMilliseconds: 200,
        timers: this.timers,
      }),
      logger: silentLogger,
      maximumMailbox: 4,
      objects: this.objects,
      shardCount: SHARD_COUNT,
      timers: this.timers,
    });
    this.leases = new ShardLeases({
      address: '127.0.0.1:1',
      createIncarnation: () => `${name}.${String(this.incarnationCount++)}` as IncarnationId,
      instance: name,
      logger: silentLogger,
      members: { eligible: () => this.eligible },
      owner: this.home,
      shardCount: SHARD_COUNT,
      table: this.table,
      terms: leaseTerms,
      timers: this.timers,
    });
    this.home.start();
    const { objects, table } = this;
    const sweeper = new LogSweeper({ objects, shardCount: SHARD_COUNT, table });
    this.timers.every(SWEEP_MILLISECONDS, () => void sweeper.sweep());
    this.timers.every(leaseTerms.renewMilliseconds, () => void this.leases.tick());
  }

  /** Returns the instance's own view of the status of its lease on the shard of a program. */
  public getLeaseStatus(program: ProgramId): string {
    return this.isKilled ? 'none' : this.leases.status(shardOf(program, SHARD_COUNT));
  }
}

/** Several instances that share one platform. */
export class ProgramCluster {
  public readonly platform = createSharedPlatform();
  public readonly counters = new UpstreamCounters();
  public readonly nodes: ProgramNode[] = [];
  private startCount = 0;

  public constructor(
    size: number,
    private readonly maximumPending = 1_000,
  ) {
    for (let index = 0; index < size; index++) {
      this.start(index);
    }
    this.healMembership();
  }

  /** Kills an instance, possibly in the middle of an operation, and starts another in its place. */
  public replace(index: number): void {
    this.nodes[index]?.kill();
    this.start(index);
    this.healMembership();
  }

  /** Lets every instance see all instances that are alive. */
  public healMembership(): void {
    const alive = this.nodes.filter(node => !node.isKilled).map(node => node.name);
    for (const node of this.nodes) {
      node.eligible = new Set(alive);
    }
  }

  /** Ends all faults. */
  public heal(): void {
    this.healMembership();
    for (const node of this.nodes) {
      const noFaults = {
        errors: 0,
        latencyMilliseconds: 0,
        lostAnswers: 0,
        outage: 'none',
      } as const;
      node.tableFaults.set(noFaults);
      node.objectFaults.set(noFaults);
      node.responseDelayMilliseconds = 0;
      node.nextWriteOutcome = undefined;
      node.interruption = undefined;
      node.dispatcher.behaviour = 'answer';
      node.dispatcher.latencyMilliseconds = 0;
      node.resume();
    }
  }

  /** Advances the clocks of all instances. */
  public async advance(milliseconds: number): Promise<void> {
    for (
      let elapsedMilliseconds = 0;
      elapsedMilliseconds < milliseconds;
      elapsedMilliseconds += STEP_MILLISECONDS
    ) {
      deliverLateWrites(this.platform);
      for (const node of this.nodes) {
        await node.advance(STEP_MILLISECONDS);
      }
    }
  }

  /** Advances the clocks until a promise settles. */
  public async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    void promise.finally(() => {
      isSettled = true;
    });
    for (let step = 0; step < 2_000 && !(isSettled as boolean); step++) {
      await this.advance(STEP_MILLISECONDS);
    }
    if (!(isSettled as boolean)) {
      throw new Error('the promise did not settle within 100 s of simulated time');
    }
    return await promise;
  }

  /**
   * Finds the instance that holds the shard of a program, advancing the clocks until there is one.
   */
  public async findHomeNode(program: ProgramId): Promise<ProgramNode> {
    for (let step = 0; step < 600; step++) {
      for (const node of this.nodes) {
        const found = await node.home.describe({ program, workspace: WORKSPACE });
        const isHome = found.ok || found.val.kind === 'program-not-found';
        if (!node.isPaused && isHome) {
          return node;
        }
      }
      await this.advance(STEP_MILLISECONDS);
    }
    throw new Error('no instance holds the shard of the program');
  }

  /** Opens a program, retrying until it is open. */
  public async open(program: ProgramId, policy = 'trace'): Promise<void> {
    for (let attempt = 0; attempt < 100; attempt++) {
      const node = await this.findHomeNode(program);
      const opened = await this.advanceUntilSettled(
        node.home.open({ deadlineMilliseconds: undefined, policy, program, workspace: WORKSPACE }),
      );
      if (opened.ok) {
        return;
      }
      await this.advance(500);
    }
    throw new Error('the program could not be opened in 100 attempts');
  }

  private start(index: number): void {
    const name = `entry-${String(index)}-${String(this.startCount++)}`;
    this.nodes[index] = new ProgramNode(this.platform, this.counters, name, this.maximumPending);
  }
}

/** Creates a call with default values for all properties that are not overridden. */
export function createCallRequest(
  program: ProgramId,
  call: string,
  turn: number,
  overrides: Partial<CallRequest> = {},
): CallRequest {
  return {
    body: Buffer.from(`input of ${call}`),
    call: call as CallId,
    fromOffset: 0,
    isAttachOnly: false,
    keyHash: 'hash' as KeyHash,
    maxTokens: 20,
    method: 'POST',
    parentCall: undefined,
    path: '/',
    program,
    service: ENGINE,
    timeoutMilliseconds: 30_000,
    turn,
    workspace: WORKSPACE,
    ...overrides,
  };
}

/** Reads a response and returns its last frame. */
export async function readEndFrame(
  frames: AsyncIterable<CallFrame>,
): Promise<Exclude<CallFrame, { kind: 'data' }>> {
  for await (const frame of frames) {
    if (frame.kind !== 'data') {
      return frame;
    }
  }
  throw new Error('the response ended without a last frame');
}
