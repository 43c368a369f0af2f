import type { ProgramId } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import {
  createCallRequest,
  ProgramCluster,
  readEndFrame,
  leaseTerms,
  TICKETS,
  WORKSPACE,
} from './programCluster.js';

const PROGRAM = 'trace-1' as ProgramId;
const reference = { program: PROGRAM, workspace: WORKSPACE };

async function createClusterWithProgram(maximumPending?: number): Promise<ProgramCluster> {
  const cluster = new ProgramCluster(1, maximumPending);
  await cluster.advance(2_000);
  await cluster.open(PROGRAM);
  return cluster;
}

describe.each([
  { objects: 'refuse', table: 'refuse' },
  { objects: 'refuse', table: 'none' },
] as const)('while the store is unavailable: %o', ({ objects, table }) => {
  it('idempotent calls succeed without being durable, and their turns are stored later', async () => {
    const cluster = await createClusterWithProgram();
    const node = cluster.nodes[0]!;
    node.objectFaults.set({ outage: objects });
    node.tableFaults.set({ outage: table });
    for (let turn = 1; turn <= 3; turn++) {
      await cluster.advance(leaseTerms.termMilliseconds);
      const call = createCallRequest(PROGRAM, `call-${String(turn)}`, turn, { maxTokens: 4 });
      const end = await cluster.advanceUntilSettled(readEndFrame(node.home.call(call)));
      expect(end).toMatchObject({ isDurable: false, kind: 'closed', turn });
    }
    expect((await node.home.describe(reference)).unwrap()).toMatchObject({
      durableTurn: 0,
      turn: 3,
    });
    cluster.heal();
    await cluster.advance(leaseTerms.termMilliseconds);
    expect((await node.home.describe(reference)).unwrap()).toMatchObject({ durableTurn: 3 });
    cluster.replace(0);
    await cluster.advance(4 * leaseTerms.termMilliseconds);
    const homeNode = await cluster.findHomeNode(PROGRAM);
    expect((await homeNode.home.describe(reference)).unwrap()).toMatchObject({ turn: 3 });
  });

  it('calls with side effects are refused as not run', async () => {
    const cluster = await createClusterWithProgram();
    const node = cluster.nodes[0]!;
    node.objectFaults.set({ outage: objects });
    node.tableFaults.set({ outage: table });
    for (let attempt = 1; attempt <= 3; attempt++) {
      const call = createCallRequest(PROGRAM, 'effect', 1, { service: TICKETS });
      const end = await cluster.advanceUntilSettled(readEndFrame(node.home.call(call)));
      expect(end).toMatchObject({ error: { kind: 'store-unavailable', ran: 'no' } });
      await cluster.advance(leaseTerms.termMilliseconds);
    }
    expect(cluster.counters.executions.size).toBe(0);
    cluster.heal();
    await cluster.advance(2 * leaseTerms.termMilliseconds);
    const call = createCallRequest(PROGRAM, 'effect', 1, { service: TICKETS });
    const end = await cluster.advanceUntilSettled(readEndFrame(node.home.call(call)));
    expect(end).toMatchObject({ isDurable: true, kind: 'closed', turn: 1 });
    expect(cluster.counters.executions.get(`${PROGRAM}/effect`)).toBe(1);
  });
});

describe('a long outage', () => {
  it('reaches the limit on turns that are not stored', async () => {
    const cluster = await createClusterWithProgram(5);
    const node = cluster.nodes[0]!;
    node.objectFaults.set({ outage: 'refuse' });
    const kinds: string[] = [];
    for (const turn of [1, 2, 3, 4, 5, 5]) {
      const call = createCallRequest(PROGRAM, `call-${String(turn)}`, turn, { maxTokens: 1 });
      const end = await cluster.advanceUntilSettled(readEndFrame(node.home.call(call)));
      kinds.push(end.kind === 'failed' ? `${end.error.kind} ${end.error.ran}` : end.kind);
    }
    const refused = 'undurable-limit-reached no';
    expect(kinds).toEqual(['closed', 'closed', 'closed', 'closed', refused, refused]);
  });

  it('spends no more tokens than the log allowed before it', async () => {
    const cluster = await createClusterWithProgram();
    const node = cluster.nodes[0]!;
    node.objectFaults.set({ outage: 'refuse' });
    let closed = 0;
    for (let turn = 1; turn <= 40; turn++) {
      const call = createCallRequest(PROGRAM, `call-${String(turn)}`, turn);
      const end = await cluster.advanceUntilSettled(readEndFrame(node.home.call(call)));
      closed += end.kind === 'closed' ? 1 : 0;
    }
    expect(closed).toBeGreaterThan(0);
    // A crash now loses the turns; the next holder may spend only the tokens outside the allowance.
    const spent = cluster.counters.tokens.get(PROGRAM)!;
    cluster.replace(0);
    await cluster.advance(4 * leaseTerms.termMilliseconds);
    const homeNode = await cluster.findHomeNode(PROGRAM);
    const state = (await homeNode.home.describe(reference)).unwrap();
    expect(state.turn).toBe(0);
    expect(state.tokensLeft + spent).toBeLessThanOrEqual(4_000);
  });
});

describe('a crash while a call runs', () => {
  it('counts the tokens that the call may have used', async () => {
    const cluster = await createClusterWithProgram();
    for (let round = 0; round < 12; round++) {
      const homeNode = await cluster.findHomeNode(PROGRAM);
      homeNode.dispatcher.latencyMilliseconds = 5_000;
      void readEndFrame(
        homeNode.home.call(createCallRequest(PROGRAM, 'long', 1, { maxTokens: 900 })),
      );
      await cluster.advance(1_000);
      cluster.replace(0);
      await cluster.advance(4 * leaseTerms.termMilliseconds);
    }
    expect(cluster.counters.tokens.get(PROGRAM)).toBeLessThanOrEqual(4_000);
    expect(cluster.counters.executions.get(`${PROGRAM}/long`)).toBeGreaterThan(1);
  });
});

describe('the state in the object store', () => {
  it('stays bounded regardless of the number of turns', async () => {
    const cluster = await createClusterWithProgram();
    const node = cluster.nodes[0]!;
    for (let turn = 1; turn <= 30; turn++) {
      const call = createCallRequest(PROGRAM, `call-${String(turn)}`, turn, { maxTokens: 1 });
      await cluster.advanceUntilSettled(readEndFrame(node.home.call(call)));
      await cluster.advance(500);
    }
    await cluster.advance(10_000);
    const { names } = cluster.platform.objects.list({ limit: 1_000, prefix: '' });
    expect(names.filter(name => name.startsWith('snapshot/'))).toHaveLength(1);
    expect(names.filter(name => name.startsWith('log/')).length).toBeLessThanOrEqual(5);
  });
});
