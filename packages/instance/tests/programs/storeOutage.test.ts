import type { ProgramId } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import {
  createCall,
  ProgramCluster,
  readEnd,
  terms,
  TICKETS,
  WORKSPACE,
} from './programCluster.js';

const PROGRAM = 'trace-1' as ProgramId;
const reference = { program: PROGRAM, workspace: WORKSPACE };

async function openedCluster(maximumPending?: number): Promise<ProgramCluster> {
  const cluster = new ProgramCluster(1, maximumPending);
  await cluster.advance(2_000);
  await cluster.open(PROGRAM);
  return cluster;
}

describe.each([
  { objects: 'refuse', table: 'refuse' },
  { objects: 'refuse', table: 'none' },
] as const)('the store is out: %o', ({ objects, table }) => {
  it('lets idempotent calls go on, not yet durable, and stores their turns later', async () => {
    const cluster = await openedCluster();
    const node = cluster.nodes[0]!;
    node.objectFaults.set({ outage: objects });
    node.tableFaults.set({ outage: table });
    for (let turn = 1; turn <= 3; turn++) {
      await cluster.advance(terms.termMilliseconds);
      const call = createCall(PROGRAM, `call-${String(turn)}`, turn, { maxTokens: 4 });
      const end = await cluster.until(readEnd(node.home.call(call)));
      expect(end).toMatchObject({ isDurable: false, kind: 'closed', turn });
    }
    expect((await node.home.describe(reference)).unwrap()).toMatchObject({
      durableTurn: 0,
      turn: 3,
    });
    cluster.heal();
    await cluster.advance(terms.termMilliseconds);
    expect((await node.home.describe(reference)).unwrap()).toMatchObject({ durableTurn: 3 });
    cluster.replace(0);
    await cluster.advance(4 * terms.termMilliseconds);
    const home = await cluster.homeOf(PROGRAM);
    expect((await home.home.describe(reference)).unwrap()).toMatchObject({ turn: 3 });
  });

  it('refuses effects and new programs as not run', async () => {
    const cluster = await openedCluster();
    const node = cluster.nodes[0]!;
    node.objectFaults.set({ outage: objects });
    node.tableFaults.set({ outage: table });
    for (let attempt = 1; attempt <= 3; attempt++) {
      const call = createCall(PROGRAM, 'effect', 1, { service: TICKETS });
      const end = await cluster.until(readEnd(node.home.call(call)));
      expect(end).toMatchObject({ error: { kind: 'store-unavailable', ran: 'no' } });
      await cluster.advance(terms.termMilliseconds);
    }
    expect(cluster.counters.executions.size).toBe(0);
    cluster.heal();
    await cluster.advance(2 * terms.termMilliseconds);
    const call = createCall(PROGRAM, 'effect', 1, { service: TICKETS });
    const end = await cluster.until(readEnd(node.home.call(call)));
    expect(end).toMatchObject({ isDurable: true, kind: 'closed', turn: 1 });
    expect(cluster.counters.executions.get(`${PROGRAM}/effect`)).toBe(1);
  });
});

describe('a long outage', () => {
  it('reaches the bound on turns that are not stored', async () => {
    const cluster = await openedCluster(5);
    const node = cluster.nodes[0]!;
    node.objectFaults.set({ outage: 'refuse' });
    const kinds: string[] = [];
    for (const turn of [1, 2, 3, 4, 5, 5]) {
      const call = createCall(PROGRAM, `call-${String(turn)}`, turn, { maxTokens: 1 });
      const end = await cluster.until(readEnd(node.home.call(call)));
      kinds.push(end.kind === 'failed' ? `${end.error.kind} ${end.error.ran}` : end.kind);
    }
    const refused = 'undurable-limit-reached no';
    expect(kinds).toEqual(['closed', 'closed', 'closed', 'closed', refused, refused]);
  });

  it('spends no more tokens than the log allowed before it', async () => {
    const cluster = await openedCluster();
    const node = cluster.nodes[0]!;
    node.objectFaults.set({ outage: 'refuse' });
    let closed = 0;
    for (let turn = 1; turn <= 40; turn++) {
      const call = createCall(PROGRAM, `call-${String(turn)}`, turn);
      const end = await cluster.until(readEnd(node.home.call(call)));
      closed += end.kind === 'closed' ? 1 : 0;
    }
    expect(closed).toBeGreaterThan(0);
    // A crash now loses the turns, and the next holder may spend only what was not allowed here.
    const spent = cluster.counters.tokens.get(PROGRAM)!;
    cluster.replace(0);
    await cluster.advance(4 * terms.termMilliseconds);
    const home = await cluster.homeOf(PROGRAM);
    const state = (await home.home.describe(reference)).unwrap();
    expect(state.turn).toBe(0);
    expect(state.tokensLeft + spent).toBeLessThanOrEqual(4_000);
  });
});

describe('a crash while a call runs', () => {
  it('counts what the call may have used', async () => {
    const cluster = await openedCluster();
    for (let round = 0; round < 12; round++) {
      const home = await cluster.homeOf(PROGRAM);
      home.dispatcher.latencyMilliseconds = 5_000;
      void readEnd(home.home.call(createCall(PROGRAM, 'long', 1, { maxTokens: 900 })));
      await cluster.advance(1_000);
      cluster.replace(0);
      await cluster.advance(4 * terms.termMilliseconds);
    }
    expect(cluster.counters.tokens.get(PROGRAM)).toBeLessThanOrEqual(4_000);
    expect(cluster.counters.executions.get(`${PROGRAM}/long`)).toBeGreaterThan(1);
  });
});

describe('the state in the object store', () => {
  it('stays bounded however many turns are made', async () => {
    const cluster = await openedCluster();
    const node = cluster.nodes[0]!;
    for (let turn = 1; turn <= 30; turn++) {
      const call = createCall(PROGRAM, `call-${String(turn)}`, turn, { maxTokens: 1 });
      await cluster.until(readEnd(node.home.call(call)));
      await cluster.advance(500);
    }
    await cluster.advance(10_000);
    const { names } = cluster.platform.objects.list({ limit: 1_000, prefix: '' });
    expect(names.filter(name => name.startsWith('snapshot/'))).toHaveLength(1);
    expect(names.filter(name => name.startsWith('log/')).length).toBeLessThanOrEqual(5);
  });
});
