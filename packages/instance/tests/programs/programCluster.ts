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
export const terms = { marginMilliseconds: 500, renewMilliseconds: 1_000, termMilliseconds: 5_000 };
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

/** What the upstreams of all instances did. */
export class UpstreamCounters {
  /** Executions by call. */
  public readonly executions = new Map<string, number>();
  /** Tokens generated and prefilled by program, whether or not their turn was kept. */
  public readonly tokens = new Map<string, number>();
}

/** Upstreams that answer after a while and count what they run. */
class CountingDispatcher implements UpstreamDispatcher {
  public reaction: 'answer' | 'break' | 'refuse' = 'answer';
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
    if (this.reaction === 'refuse') {
      yield { error: new ZincringError('upstream-unavailable'), kind: 'failed' };
      return;
    }
    const key = `${String(work.program)}/${work.call}`;
    this.counters.executions.set(key, (this.counters.executions.get(key) ?? 0) + 1);
    const usage = this.count(work);
    await this.node.delayWhilePaused(sleep(this.node.timers, this.latencyMilliseconds));
    if (this.reaction === 'break') {
      yield { error: new ZincringError('upstream-failed'), kind: 'failed' };
      return;
    }
    yield { data: Buffer.from(`answer to ${work.call}`), kind: 'data' };
    yield { kind: 'done', usage };
  }

  private count(work: UpstreamWork): {
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
    const spent = this.counters.tokens.get(program) ?? 0;
    this.counters.tokens.set(program, spent + promptTokens + maxTokens);
    return { cachedTokens: 0, outputTokens: maxTokens, promptTokens };
  }
}

/** One key that all calls come under, until it is withdrawn. */
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

/** One instance that is the home of programs. */
export class ProgramNode extends PausableNode {
  public readonly home: ProgramHome;
  public readonly leases: ShardLeases;
  public readonly dispatcher: CountingDispatcher;
  public readonly key = new WithdrawableKey();
  public eligible: ReadonlySet<string>;
  public readonly ended: ProgramId[] = [];
  private incarnations = 0;

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
      keyWatch: this.key,
      configuration: () => configuration,
      dispatcher: this.dispatcher,
      groupsPerReference: 5,
      recordsPerSnapshot: 3,
      endListener: { onProgramEnd: program => this.ended.push(program) },
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
      createIncarnation: () => `${name}.${String(this.incarnations++)}` as IncarnationId,
      instance: name,
      logger: silentLogger,
      members: { eligible: () => this.eligible },
      owner: this.home,
      shardCount: SHARD_COUNT,
      table: this.table,
      terms,
      timers: this.timers,
    });
    this.home.start();
    const { objects, table } = this;
    const sweeper = new LogSweeper({ objects, shardCount: SHARD_COUNT, table });
    this.timers.every(SWEEP_MILLISECONDS, () => void sweeper.sweep());
    this.timers.every(terms.renewMilliseconds, () => void this.leases.tick());
  }

  /** How the instance believes to stand to the shard of a program. */
  public standingOf(program: ProgramId): string {
    return this.isKilled ? 'none' : this.leases.status(shardOf(program, SHARD_COUNT));
  }
}

/** Several homes of programs over one platform. */
export class ProgramCluster {
  public readonly platform = createSharedPlatform();
  public readonly counters = new UpstreamCounters();
  public readonly nodes: ProgramNode[] = [];
  private generation = 0;

  public constructor(
    size: number,
    private readonly maximumPending = 1_000,
  ) {
    for (let index = 0; index < size; index++) {
      this.start(index);
    }
    this.healMembership();
  }

  /** Kills an instance in the middle of anything and starts another in its place. */
  public replace(index: number): void {
    this.nodes[index]?.kill();
    this.start(index);
    this.healMembership();
  }

  /** Every instance sees all that are alive. */
  public healMembership(): void {
    const alive = this.nodes.filter(node => !node.isKilled).map(node => node.name);
    for (const node of this.nodes) {
      node.eligible = new Set(alive);
    }
  }

  /** Ends every fault. */
  public heal(): void {
    this.healMembership();
    for (const node of this.nodes) {
      const none = { errors: 0, latencyMilliseconds: 0, lostAnswers: 0, outage: 'none' } as const;
      node.tableFaults.set(none);
      node.objectFaults.set(none);
      node.answerDelayMilliseconds = 0;
      node.nextWriteOutcome = undefined;
      node.interruption = undefined;
      node.dispatcher.reaction = 'answer';
      node.dispatcher.latencyMilliseconds = 0;
      node.resume();
    }
  }

  /** Lets time pass everywhere. */
  public async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      deliverLateWrites(this.platform);
      for (const node of this.nodes) {
        await node.advance(STEP_MILLISECONDS);
      }
    }
  }

  /** Lets time pass until a promise settles. */
  public async until<Value>(promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    void promise.finally(() => {
      isSettled = true;
    });
    for (let step = 0; step < 2_000 && !(isSettled as boolean); step++) {
      await this.advance(STEP_MILLISECONDS);
    }
    if (!(isSettled as boolean)) {
      throw new Error('nothing came of it in 100 s');
    }
    return await promise;
  }

  /** The instance that holds the shard of a program. */
  public async homeOf(program: ProgramId): Promise<ProgramNode> {
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
    throw new Error('the program has no home');
  }

  /** Opens a program, however long it takes. */
  public async open(program: ProgramId, policy = 'trace'): Promise<void> {
    for (let attempt = 0; attempt < 100; attempt++) {
      const node = await this.homeOf(program);
      const opened = await this.until(
        node.home.open({ deadlineMilliseconds: undefined, policy, program, workspace: WORKSPACE }),
      );
      if (opened.ok) {
        return;
      }
      await this.advance(500);
    }
    throw new Error('the program was not opened');
  }

  private start(index: number): void {
    const name = `entry-${String(index)}-${String(this.generation++)}`;
    this.nodes[index] = new ProgramNode(this.platform, this.counters, name, this.maximumPending);
  }
}

/** A call with the usual defaults. */
export function createCall(
  program: ProgramId,
  call: string,
  turn: number,
  changes: Partial<CallRequest> = {},
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
    ...changes,
  };
}

/** The last frame of an answer. */
export async function readEnd(
  frames: AsyncIterable<CallFrame>,
): Promise<Exclude<CallFrame, { kind: 'data' }>> {
  for await (const frame of frames) {
    if (frame.kind !== 'data') {
      return frame;
    }
  }
  throw new Error('the answer has no end');
}
