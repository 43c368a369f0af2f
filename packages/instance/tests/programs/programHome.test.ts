import type { CallId, ProgramId } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import {
  createCallRequest,
  ProgramCluster,
  readEndFrame,
  TICKETS,
  WORKSPACE,
} from './programCluster.js';

const PROGRAM = 'trace-1' as ProgramId;

async function createClusterWithProgram(size = 1, policy = 'trace'): Promise<ProgramCluster> {
  const cluster = new ProgramCluster(size);
  await cluster.advance(2_000);
  await cluster.open(PROGRAM, policy);
  return cluster;
}

describe('calls of a program', () => {
  it('run in order, attach when sent twice, and get the resume point with a turn conflict', async () => {
    const cluster = await createClusterWithProgram();
    const { home, dispatcher } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 500;
    const ends = [
      createCallRequest(PROGRAM, 'one', 1),
      createCallRequest(PROGRAM, 'two', 2),
      createCallRequest(PROGRAM, 'one', 1),
      createCallRequest(PROGRAM, 'four', 4),
      createCallRequest(PROGRAM, 'other-two', 2),
    ].map(async request => readEndFrame(home.call(request)));
    const [one, two, resent, four, otherTwo] = await cluster.advanceUntilSettled(Promise.all(ends));
    expect(one).toMatchObject({ isDurable: true, kind: 'closed', turn: 1 });
    expect(two).toMatchObject({ isDurable: true, kind: 'closed', turn: 2 });
    expect(resent).toEqual(one);
    for (const refused of [four, otherTwo]) {
      expect(refused).toMatchObject({
        error: { kind: 'turn-conflict', ran: 'no', resume: { durableTurn: 2, turn: 2 } },
        kind: 'failed',
      });
    }
    expect(cluster.counters.executions.get(`${PROGRAM}/one`)).toBe(1);
    const replayed = await cluster.advanceUntilSettled(
      readEndFrame(home.call(createCallRequest(PROGRAM, 'one', 1))),
    );
    expect(replayed).toEqual(one);
  });

  it('end when their key is withdrawn, whether queued or running', async () => {
    const cluster = await createClusterWithProgram();
    const { home, dispatcher, apiKey } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 60_000;
    const ends = ['one', 'two'].map(async (call, index) =>
      readEndFrame(home.call(createCallRequest(PROGRAM, call, index + 1))),
    );
    await cluster.advance(100);
    apiKey.withdraw();
    expect(await cluster.advanceUntilSettled(Promise.all(ends))).toMatchObject([
      { error: { kind: 'key-withdrawn-while-running', ran: 'maybe' }, kind: 'failed' },
      { error: { kind: 'key-rejected', ran: 'no' }, kind: 'failed' },
    ]);
    expect(apiKey.size).toBe(0);
  });

  it('are refused when their id belongs to a different request', async () => {
    const cluster = await createClusterWithProgram();
    const { home } = cluster.nodes[0]!;
    await cluster.advanceUntilSettled(
      readEndFrame(home.call(createCallRequest(PROGRAM, 'one', 1))),
    );
    const other = createCallRequest(PROGRAM, 'one', 1, { body: Buffer.from('something else') });
    expect(await cluster.advanceUntilSettled(readEndFrame(home.call(other)))).toMatchObject({
      error: { kind: 'bad-request', ran: 'no' },
    });
  });

  it('are refused when the mailbox is full, and fail in the mailbox at their deadline', async () => {
    const cluster = await createClusterWithProgram();
    const { dispatcher, home } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 20_000;
    const first = readEndFrame(home.call(createCallRequest(PROGRAM, 'call-0', 1)));
    await cluster.advance(50);
    const waiting = Array.from({ length: 6 }, async (_, index) => {
      const overrides = { timeoutMilliseconds: 5_000 };
      return readEndFrame(
        home.call(createCallRequest(PROGRAM, `more-${String(index)}`, index + 2, overrides)),
      );
    });
    const ends = [first, ...waiting];
    const settled = await cluster.advanceUntilSettled(Promise.all(ends));
    expect(settled.map(end => (end.kind === 'failed' ? end.error.kind : end.kind))).toEqual([
      'closed',
      ...Array.from({ length: 4 }, () => 'deadline-exceeded-in-queue'),
      'mailbox-full',
      'mailbox-full',
    ]);
  });

  it('are refused for services that the policy does not name', async () => {
    const cluster = await createClusterWithProgram(1, 'tight');
    const call = createCallRequest(PROGRAM, 'one', 1, { service: TICKETS });
    const end = await cluster.advanceUntilSettled(readEndFrame(cluster.nodes[0]!.home.call(call)));
    expect(end).toMatchObject({ error: { kind: 'service-not-found', ran: 'no' } });
    expect(cluster.counters.executions.size).toBe(0);
  });

  it('of another workspace get the same error as for an unknown program', async () => {
    const cluster = await createClusterWithProgram();
    const call = createCallRequest(PROGRAM, 'one', 1, { workspace: 'other' as typeof WORKSPACE });
    const end = await cluster.advanceUntilSettled(readEndFrame(cluster.nodes[0]!.home.call(call)));
    expect(end).toMatchObject({ error: { kind: 'program-not-found', ran: 'no' } });
  });
});

describe('sub-agents', () => {
  it('run concurrently with later calls of the program and have their own turns', async () => {
    const cluster = await createClusterWithProgram();
    const { dispatcher, home } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 1_000;
    const parentCall = 'one' as CallId;
    const ends = [
      createCallRequest(PROGRAM, 'one', 1),
      createCallRequest(PROGRAM, 'sub-1', 1, { parentCall }),
      createCallRequest(PROGRAM, 'sub-2', 2, { parentCall }),
      createCallRequest(PROGRAM, 'two', 2),
    ].map(async request => readEndFrame(home.call(request)));
    const closed = await cluster.advanceUntilSettled(Promise.all(ends));
    expect(closed.map(end => (end.kind === 'closed' ? end.turn : end.error.kind))).toEqual([
      1, 1, 2, 2,
    ]);
    const digests = closed.map(end => (end.kind === 'closed' ? end.digest : ''));
    expect(new Set(digests).size).toBe(4);
  });

  it('never exceed the budget of the program together', async () => {
    const cluster = await createClusterWithProgram(1, 'tight');
    const { dispatcher, home } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 1_000;
    const ends = Array.from({ length: 8 }, async (_, index) =>
      readEndFrame(
        home.call(
          createCallRequest(PROGRAM, `sub-${String(index)}`, 1, {
            maxTokens: 100,
            parentCall: `parent-${String(index)}` as CallId,
          }),
        ),
      ),
    );
    const settled = await cluster.advanceUntilSettled(Promise.all(ends));
    const refused = settled.filter(end => end.kind === 'failed');
    expect(refused.map(end => end.error.kind)).toEqual(
      Array.from({ length: 5 }, () => 'budget-exhausted'),
    );
    expect(cluster.counters.tokens.get(PROGRAM)).toBeLessThanOrEqual(400);
  });
});

describe('the end of a program', () => {
  it.each([
    { call: false, policy: 'tight', seconds: 62 },
    { call: true, policy: 'tight', seconds: 602 },
  ])('comes when the idle time or the lifetime is over: %o', async ({ call, policy, seconds }) => {
    const cluster = await createClusterWithProgram(1, policy);
    const node = cluster.nodes[0]!;
    for (let elapsedSeconds = 0; elapsedSeconds < seconds; elapsedSeconds += 30) {
      if (call) {
        await cluster.advanceUntilSettled(
          readEndFrame(node.home.call(createCallRequest(PROGRAM, 'none', 99))),
        );
      }
      node.timers.skip(30_000 - 2_000);
      await cluster.advance(2_000);
    }
    const state = (await node.home.describe({ program: PROGRAM, workspace: WORKSPACE })).unwrap();
    expect(state.hasEnded).toBe(true);
    expect(node.endedPrograms).toContain(PROGRAM);
  });

  it('leaves some time for resends to be answered before the program is removed', async () => {
    const cluster = await createClusterWithProgram();
    const { home, timers } = cluster.nodes[0]!;
    await cluster.advanceUntilSettled(
      readEndFrame(home.call(createCallRequest(PROGRAM, 'one', 1))),
    );
    await cluster.advanceUntilSettled(home.end({ program: PROGRAM, workspace: WORKSPACE }));
    const resent = await cluster.advanceUntilSettled(
      readEndFrame(home.call(createCallRequest(PROGRAM, 'one', 1))),
    );
    expect(resent).toMatchObject({ kind: 'closed', turn: 1 });
    const late = await cluster.advanceUntilSettled(
      readEndFrame(home.call(createCallRequest(PROGRAM, 'two', 2))),
    );
    expect(late).toMatchObject({ error: { kind: 'program-ended', ran: 'no' } });
    timers.skip(11 * 60 * 1_000);
    await cluster.advance(10_000);
    expect(home.programCount).toBe(0);
  });

  it('makes room for another program under the limit of the workspace', async () => {
    const cluster = await createClusterWithProgram();
    const { home } = cluster.nodes[0]!;
    const open = async (program: string): Promise<string> => {
      const opened = await cluster.advanceUntilSettled(
        home.open({
          deadlineMilliseconds: undefined,
          policy: 'trace',
          program: program as ProgramId,
          workspace: WORKSPACE,
        }),
      );
      return opened.ok ? 'open' : opened.val.kind;
    };
    for (let index = 1; index < 20; index++) {
      expect(await open(`more-${String(index)}`)).toBe('open');
    }
    expect(await open('too-many')).toBe('program-limit-reached');
    await cluster.advanceUntilSettled(home.end({ program: PROGRAM, workspace: WORKSPACE }));
    expect(await open('too-many')).toBe('open');
  });
});

describe('a handover', () => {
  it('finishes running calls, refuses queued ones, and loses no turn', async () => {
    const cluster = await createClusterWithProgram(2);
    const first = await cluster.findHomeNode(PROGRAM);
    const second = cluster.nodes.find(node => node !== first)!;
    first.dispatcher.latencyMilliseconds = 3_000;
    const running = readEndFrame(
      first.home.call(createCallRequest(PROGRAM, 'one', 1, { service: TICKETS })),
    );
    const waiting = readEndFrame(first.home.call(createCallRequest(PROGRAM, 'two', 2)));
    await cluster.advance(200);
    first.eligible = new Set([second.name]);
    second.eligible = new Set([second.name]);
    const stopped = first.leases.stop();
    expect(await cluster.advanceUntilSettled(running)).toMatchObject({ isDurable: true, turn: 1 });
    expect(await cluster.advanceUntilSettled(waiting)).toMatchObject({
      error: { kind: 'shard-unavailable', ran: 'no' },
    });
    await cluster.advanceUntilSettled(stopped);
    await cluster.advance(2_000);
    const two = await cluster.advanceUntilSettled(
      readEndFrame(second.home.call(createCallRequest(PROGRAM, 'two', 2))),
    );
    expect(two).toMatchObject({ isDurable: true, turn: 2 });
    expect(cluster.counters.executions.get(`${PROGRAM}/one`)).toBe(1);
  });
});
