import type { CallId, ProgramId } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import { createCall, ProgramCluster, readEnd, TICKETS, WORKSPACE } from './programCluster.js';

const PROGRAM = 'trace-1' as ProgramId;

async function openedCluster(size = 1, policy = 'trace'): Promise<ProgramCluster> {
  const cluster = new ProgramCluster(size);
  await cluster.advance(2_000);
  await cluster.open(PROGRAM, policy);
  return cluster;
}

describe('calls of a program', () => {
  it('take effect in order, attach when sent twice, and are told where to go on', async () => {
    const cluster = await openedCluster();
    const { home, dispatcher } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 500;
    const ends = [
      createCall(PROGRAM, 'one', 1),
      createCall(PROGRAM, 'two', 2),
      createCall(PROGRAM, 'one', 1),
      createCall(PROGRAM, 'four', 4),
      createCall(PROGRAM, 'other-two', 2),
    ].map(async request => readEnd(home.call(request)));
    const [one, two, again, four, otherTwo] = await cluster.until(Promise.all(ends));
    expect(one).toMatchObject({ isDurable: true, kind: 'closed', turn: 1 });
    expect(two).toMatchObject({ isDurable: true, kind: 'closed', turn: 2 });
    expect(again).toEqual(one);
    for (const refused of [four, otherTwo]) {
      expect(refused).toMatchObject({
        error: { kind: 'turn-conflict', ran: 'no', resume: { durableTurn: 2, turn: 2 } },
        kind: 'failed',
      });
    }
    expect(cluster.counters.executions.get(`${PROGRAM}/one`)).toBe(1);
    const replayed = await cluster.until(readEnd(home.call(createCall(PROGRAM, 'one', 1))));
    expect(replayed).toEqual(one);
  });

  it('end when their key is withdrawn, whether they wait or run', async () => {
    const cluster = await openedCluster();
    const { home, dispatcher, key } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 60_000;
    const ends = ['one', 'two'].map(async (call, index) =>
      readEnd(home.call(createCall(PROGRAM, call, index + 1))),
    );
    await cluster.advance(100);
    key.withdraw();
    expect(await cluster.until(Promise.all(ends))).toMatchObject([
      { error: { kind: 'key-withdrawn-while-running', ran: 'maybe' }, kind: 'failed' },
      { error: { kind: 'key-rejected', ran: 'no' }, kind: 'failed' },
    ]);
    expect(key.size).toBe(0);
  });

  it('are refused when their id stands for another request', async () => {
    const cluster = await openedCluster();
    const { home } = cluster.nodes[0]!;
    await cluster.until(readEnd(home.call(createCall(PROGRAM, 'one', 1))));
    const other = createCall(PROGRAM, 'one', 1, { body: Buffer.from('something else') });
    expect(await cluster.until(readEnd(home.call(other)))).toMatchObject({
      error: { kind: 'bad-request', ran: 'no' },
    });
  });

  it('are refused when too many wait, and end in the queue at their deadline', async () => {
    const cluster = await openedCluster();
    const { dispatcher, home } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 20_000;
    const first = readEnd(home.call(createCall(PROGRAM, 'call-0', 1)));
    await cluster.advance(50);
    const waiting = Array.from({ length: 6 }, async (_, index) => {
      const changes = { timeoutMilliseconds: 5_000 };
      return readEnd(home.call(createCall(PROGRAM, `more-${String(index)}`, index + 2, changes)));
    });
    const ends = [first, ...waiting];
    const settled = await cluster.until(Promise.all(ends));
    expect(settled.map(end => (end.kind === 'failed' ? end.error.kind : end.kind))).toEqual([
      'closed',
      ...Array.from({ length: 4 }, () => 'deadline-exceeded-in-queue'),
      'mailbox-full',
      'mailbox-full',
    ]);
  });

  it('are refused for services that the policy does not name', async () => {
    const cluster = await openedCluster(1, 'tight');
    const call = createCall(PROGRAM, 'one', 1, { service: TICKETS });
    const end = await cluster.until(readEnd(cluster.nodes[0]!.home.call(call)));
    expect(end).toMatchObject({ error: { kind: 'service-not-found', ran: 'no' } });
    expect(cluster.counters.executions.size).toBe(0);
  });

  it('of another workspace get the answer that a program which is not there gets', async () => {
    const cluster = await openedCluster();
    const call = createCall(PROGRAM, 'one', 1, { workspace: 'other' as typeof WORKSPACE });
    const end = await cluster.until(readEnd(cluster.nodes[0]!.home.call(call)));
    expect(end).toMatchObject({ error: { kind: 'program-not-found', ran: 'no' } });
  });
});

describe('sub-agents', () => {
  it('run beside the later calls of their parent, with turns of their own', async () => {
    const cluster = await openedCluster();
    const { dispatcher, home } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 1_000;
    const parentCall = 'one' as CallId;
    const ends = [
      createCall(PROGRAM, 'one', 1),
      createCall(PROGRAM, 'sub-1', 1, { parentCall }),
      createCall(PROGRAM, 'sub-2', 2, { parentCall }),
      createCall(PROGRAM, 'two', 2),
    ].map(async request => readEnd(home.call(request)));
    const closed = await cluster.until(Promise.all(ends));
    expect(closed.map(end => (end.kind === 'closed' ? end.turn : end.error.kind))).toEqual([
      1, 1, 2, 2,
    ]);
    const digests = closed.map(end => (end.kind === 'closed' ? end.digest : ''));
    expect(new Set(digests).size).toBe(4);
  });

  it('never pass the budget of the program together', async () => {
    const cluster = await openedCluster(1, 'tight');
    const { dispatcher, home } = cluster.nodes[0]!;
    dispatcher.latencyMilliseconds = 1_000;
    const ends = Array.from({ length: 8 }, async (_, index) =>
      readEnd(
        home.call(
          createCall(PROGRAM, `sub-${String(index)}`, 1, {
            maxTokens: 100,
            parentCall: `parent-${String(index)}` as CallId,
          }),
        ),
      ),
    );
    const settled = await cluster.until(Promise.all(ends));
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
  ])('comes by itself: %o', async ({ call, policy, seconds }) => {
    const cluster = await openedCluster(1, policy);
    const node = cluster.nodes[0]!;
    for (let passed = 0; passed < seconds; passed += 30) {
      if (call) {
        await cluster.until(readEnd(node.home.call(createCall(PROGRAM, 'none', 99))));
      }
      node.timers.skip(30_000 - 2_000);
      await cluster.advance(2_000);
    }
    const state = (await node.home.describe({ program: PROGRAM, workspace: WORKSPACE })).unwrap();
    expect(state.hasEnded).toBe(true);
    expect(node.ended).toContain(PROGRAM);
  });

  it('is answered for a while and then forgotten', async () => {
    const cluster = await openedCluster();
    const { home, timers } = cluster.nodes[0]!;
    await cluster.until(readEnd(home.call(createCall(PROGRAM, 'one', 1))));
    await cluster.until(home.end({ program: PROGRAM, workspace: WORKSPACE }));
    const resent = await cluster.until(readEnd(home.call(createCall(PROGRAM, 'one', 1))));
    expect(resent).toMatchObject({ kind: 'closed', turn: 1 });
    const late = await cluster.until(readEnd(home.call(createCall(PROGRAM, 'two', 2))));
    expect(late).toMatchObject({ error: { kind: 'program-ended', ran: 'no' } });
    timers.skip(11 * 60 * 1_000);
    await cluster.advance(10_000);
    expect(home.programCount).toBe(0);
  });

  it('leaves room for another program of the workspace', async () => {
    const cluster = await openedCluster();
    const { home } = cluster.nodes[0]!;
    const open = async (program: string): Promise<string> => {
      const opened = await cluster.until(
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
    await cluster.until(home.end({ program: PROGRAM, workspace: WORKSPACE }));
    expect(await open('too-many')).toBe('open');
  });
});

describe('a handover', () => {
  it('finishes what runs, refuses what waits, and loses nothing', async () => {
    const cluster = await openedCluster(2);
    const first = await cluster.homeOf(PROGRAM);
    const second = cluster.nodes.find(node => node !== first)!;
    first.dispatcher.latencyMilliseconds = 3_000;
    const running = readEnd(first.home.call(createCall(PROGRAM, 'one', 1, { service: TICKETS })));
    const waiting = readEnd(first.home.call(createCall(PROGRAM, 'two', 2)));
    await cluster.advance(200);
    first.eligible = new Set([second.name]);
    second.eligible = new Set([second.name]);
    const stopped = first.leases.stop();
    expect(await cluster.until(running)).toMatchObject({ isDurable: true, turn: 1 });
    expect(await cluster.until(waiting)).toMatchObject({
      error: { kind: 'shard-unavailable', ran: 'no' },
    });
    await cluster.until(stopped);
    await cluster.advance(2_000);
    const two = await cluster.until(readEnd(second.home.call(createCall(PROGRAM, 'two', 2))));
    expect(two).toMatchObject({ isDurable: true, turn: 2 });
    expect(cluster.counters.executions.get(`${PROGRAM}/one`)).toBe(1);
  });
});
