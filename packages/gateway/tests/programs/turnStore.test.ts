import type { Result, WorkspaceName, ZincringError } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { RequestId, TurnId } from '../../src/callers/requestFacts.js';
import type { ComposedRequest } from '../../src/programs/turnStore.js';

import { TurnStore } from '../../src/programs/turnStore.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { finishWithin } from '../support/finishWithin.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleRoute, sampleTurn } from '../support/samples.js';

const ROW_BYTES = 65_536;

describe(TurnStore, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  const signal = new AbortController().signal;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
  });

  function makeInstance(): TurnStore {
    return new TurnStore({
      logger: silentLogger,
      random: () => 0.5,
      rowBytes: ROW_BYTES,
      table: new MonitoredTable(store.client(), timers),
      timers,
    });
  }

  async function finish<Value>(work: Promise<Value>, limitMilliseconds = 4_000): Promise<Value> {
    return await finishWithin(timers, work, limitMilliseconds);
  }

  async function compose(
    instance: TurnStore,
    id: string,
    input: string,
    previous?: string,
    workspace = 'clerks',
  ): Promise<Result<ComposedRequest, ZincringError>> {
    const request = sampleTurn(
      id,
      { previousTurn: previous as TurnId | undefined, requestId: id as RequestId },
      {
        body: Buffer.from(input),
        route: sampleRoute({ storesTurns: true }),
        workspace: workspace as WorkspaceName,
      },
    );
    return await finish(instance.compose(request, signal));
  }

  async function runTurn(
    instance: TurnStore,
    id: string,
    input: string,
    outputs: readonly string[],
    previous?: string,
  ): Promise<string> {
    const composed = await compose(instance, id, input, previous);
    if (composed.err) {
      return composed.val.kind;
    }
    outputs.forEach(output => composed.val.turn?.addOutput(Buffer.from(output)));
    expect(await finish(composed.val.turn?.save(signal) ?? Promise.resolve(false))).toBe(true);
    return composed.val.body.toString();
  }

  it('never stores a turn without the events that an earlier request has delivered', async () => {
    const request = sampleTurn(
      'second',
      { lastEventId: '2' },
      { route: sampleRoute({ isResumable: true, storesTurns: true }) },
    );
    const composed = await finish(makeInstance().compose(request, signal));
    expect(composed.err && composed.val.ran).toBe('no');
    expect(composed.err && composed.val.status).toBe(503);
  });

  it('leaves requests of routes that do not store turns unchanged', async () => {
    const composed = await finish(makeInstance().compose(sampleTurn('a'), signal));
    expect(composed.ok && composed.val.body.toString()).toBe('input');
    expect(composed.ok && composed.val.turn).toBeUndefined();
  });

  it('prepends the inputs and outputs of all earlier turns to the new input', async () => {
    const instance = makeInstance();
    expect(await runTurn(instance, 'a', 'A', ['1', '2'])).toBe('A');
    expect(await runTurn(instance, 'b', 'B', ['3'], 'a')).toBe('A1\n2\nB');
    expect(await runTurn(instance, 'c', 'C', [], 'b')).toBe('A1\n2\nB3\nC');
  });

  it('composes the same body at an instance that has just started', async () => {
    await runTurn(makeInstance(), 'a', 'A', ['1']);
    await runTurn(makeInstance(), 'b', 'B', ['2'], 'a');
    expect(await runTurn(makeInstance(), 'c', 'C', [], 'b')).toBe('A1\nB2\nC');
  });

  it('lets several turns continue the same turn', async () => {
    const instance = makeInstance();
    await runTurn(instance, 'a', 'A', ['1']);
    expect(await runTurn(instance, 'b', 'B', ['2'], 'a')).toBe('A1\nB');
    expect(await runTurn(instance, 'c', 'C', ['3'], 'a')).toBe('A1\nC');
  });

  it('stores turns that are larger than a row', async () => {
    const large = 'x'.repeat(150_000);
    await runTurn(makeInstance(), 'a', large, ['1', large]);
    const body = await runTurn(makeInstance(), 'b', 'B', [], 'a');
    expect(body).toBe(`${large}1\n${large}\nB`);
  });

  // Guards against: the output of a stream without end was collected until memory ran out.
  it('stores no turn whose output is larger than one may be', async () => {
    const composed = await compose(makeInstance(), 'a', 'A');
    const piece = Buffer.alloc(1_000, 'x');
    for (let pieces = 0; pieces < 1_100; pieces++) {
      (composed.ok ? composed.val.turn : undefined)?.addOutput(piece);
    }
    const saving = composed.ok ? composed.val.turn?.save(signal) : undefined;
    expect(await finish(saving ?? Promise.resolve(true))).toBe(false);
    const next = await compose(makeInstance(), 'b', 'B', 'a');
    expect(next.err && next.val.status).toBe(404);
  });

  it('responds with 404 to a turn that continues one that has not ended', async () => {
    const instance = makeInstance();
    await compose(instance, 'a', 'A');
    const next = await compose(instance, 'b', 'B', 'a');
    expect(next.err && next.val.status).toBe(404);
  });

  it('responds with 404 to a turn that continues one of another workspace', async () => {
    const instance = makeInstance();
    await runTurn(instance, 'a', 'A', ['1']);
    const next = await compose(instance, 'b', 'B', 'a', 'others');
    expect(next.err && next.val.status).toBe(404);
  });

  it('responds with 503 while the store is unavailable', async () => {
    await runTurn(makeInstance(), 'a', 'A', ['1']);
    store.faults.isRefusing = true;
    const next = await compose(makeInstance(), 'b', 'B', 'a');
    expect(next.err && next.val.status).toBe(503);
    expect(next.err && next.val.ran).toBe('no');
  });

  it('stores a turn once when the answer of the store is lost', async () => {
    const instance = makeInstance();
    const composed = await compose(instance, 'a', 'A');
    store.faults.losesAnswers = true;
    const saving = composed.ok ? composed.val.turn?.save(signal) : undefined;
    await timers.advance(405);
    store.faults.losesAnswers = false;
    expect(await finish(saving ?? Promise.resolve(false))).toBe(true);
    expect(await runTurn(makeInstance(), 'b', 'B', [], 'a')).toBe('AB');
  });

  it('does not report a turn as stored that is not', async () => {
    const composed = await compose(makeInstance(), 'a', 'A');
    store.faults.isRefusing = true;
    const controller = new AbortController();
    const saving = composed.ok ? composed.val.turn?.save(controller.signal) : undefined;
    await timers.advance(500);
    controller.abort();
    expect(await finish(saving ?? Promise.resolve(true))).toBe(false);
  });
});
