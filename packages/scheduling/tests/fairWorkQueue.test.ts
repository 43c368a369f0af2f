import type { WorkspaceName } from '@zincring/core';

import {
  AttainedServiceOrder,
  defaultAttainedServiceOptions,
  FairWorkQueue,
} from '@zincring/scheduling';
import { describe, expect, test } from 'vitest';

import { canRunAll, createQueueItem } from './queueItems.js';

function createQueue(
  weights: readonly number[] = [1, 1, 1],
  maximumItems = 1_000,
  perWorkspace = 500,
) {
  return new FairWorkQueue({
    maximumItems,
    maximumItemsPerWorkspace: perWorkspace,
    weightOf: workspace => weights[Number(workspace.split('-')[1])] ?? 1,
  });
}

function popWorkspaces(queue: ReturnType<typeof createQueue>, count: number): readonly string[] {
  return Array.from({ length: count }, () => queue.pop(0, canRunAll)?.workspace ?? 'none');
}

describe('FairWorkQueue', () => {
  test('a workspace with ten times as many items gets no more than its share while others wait', () => {
    const queue = createQueue();
    for (let id = 0; id < 100; id++) {
      queue.push(createQueueItem(id, 0), 0);
    }
    for (let id = 100; id < 110; id++) {
      queue.push(createQueueItem(id, 1), 0);
    }
    const first = popWorkspaces(queue, 20);
    expect(first.filter(name => name === 'workspace-1')).toHaveLength(10);
  });

  test('workspaces are served in proportion to their weights', () => {
    const queue = createQueue([3, 1]);
    for (let id = 0; id < 80; id++) {
      queue.push(createQueueItem(id, id % 2), 0);
    }
    const first = popWorkspaces(queue, 40);
    const heavyCount = first.filter(name => name === 'workspace-0').length;
    expect(heavyCount).toBeGreaterThanOrEqual(29);
    expect(heavyCount).toBeLessThanOrEqual(31);
  });

  test('use at other instances is charged to a workspace, up to a bound', () => {
    const queue = createQueue();
    for (let id = 0; id < 60; id++) {
      queue.push(createQueueItem(id, id % 2), 0);
    }
    queue.observeRemoteUse('workspace-0' as WorkspaceName, 1_000);
    expect(popWorkspaces(queue, 10)).not.toContain('workspace-0');
    expect(popWorkspaces(queue, 10)).toContain('workspace-0');
  });

  test('the actual cost replaces the estimate', () => {
    const queue = createQueue();
    for (let id = 0; id < 60; id++) {
      queue.push(createQueueItem(id, id % 2), 0);
    }
    const [first, second] = [queue.pop(0, canRunAll), queue.pop(0, canRunAll)];
    queue.settle(first!.id, 1_100);
    queue.settle(second!.id, 100);
    expect(new Set(popWorkspaces(queue, 9))).toEqual(new Set([second!.workspace]));
  });

  test('programs with less attained service go first, unless age outweighs it', () => {
    const queue = createQueue();
    queue.push(createQueueItem(1, 0, { attainedTokens: 1_000 }), 0);
    queue.push(createQueueItem(2, 0), 100);
    queue.push(createQueueItem(3, 0), 7_000);
    const order = [1, 2, 3].map(() => queue.pop(7_000, canRunAll)?.id);
    expect(order).toEqual(['work-2', 'work-1', 'work-3']);
  });

  test('age counts from the first call of the program, in bounded memory', () => {
    const order = new AttainedServiceOrder({
      ...defaultAttainedServiceOptions,
      maximumPrograms: 2,
    });
    const first = createQueueItem(1, 0);
    expect(order.keyOf(first, 0)).toBe(0);
    expect(order.keyOf({ ...first, attainedTokens: 10 }, 50_000)).toBe(60);
    for (let id = 2; id < 10; id++) {
      order.keyOf(createQueueItem(id, 0), 60_000);
    }
    expect(order.programCount).toBe(2);
    expect(order.keyOf(first, 70_000)).toBe(70_000);
  });

  test('an item close to its deadline goes before programs with less attained service', () => {
    const queue = createQueue();
    queue.push(createQueueItem(1, 0), 0);
    queue.push(createQueueItem(2, 0, { attainedTokens: 90_000, deadline: 1_000 }), 0);
    expect(queue.pop(0, canRunAll)?.id).toBe('work-2');
  });

  test('items that cannot run keep their position', () => {
    const queue = createQueue();
    queue.push(createQueueItem(1, 0), 0);
    queue.push(createQueueItem(2, 1), 0);
    expect(queue.pop(0, item => item.id === 'work-2')?.id).toBe('work-2');
    queue.push(createQueueItem(3, 1), 0);
    expect(queue.pop(0, canRunAll)?.id).toBe('work-1');
    expect(queue.pop(0, () => false)).toBeUndefined();
    expect(queue.size).toBe(1);
  });

  test.each([
    { expected: 'duplicate', id: 1, workspace: 0 },
    { expected: 'workspace-full', id: 9, workspace: 0 },
    { expected: 'accepted', id: 9, workspace: 1 },
  ])('a push returns $expected', ({ expected, id, workspace }) => {
    const queue = createQueue([], 3, 2);
    queue.push(createQueueItem(1, 0), 0);
    queue.push(createQueueItem(2, 0), 0);
    expect(queue.push(createQueueItem(id, workspace), 0)).toBe(expected);
    expect(queue.push(createQueueItem(10, 2), 0)).toBe(
      expected === 'accepted' ? 'queue-full' : 'accepted',
    );
  });

  test('a removed item is never popped and no longer counts towards the limits', () => {
    const queue = createQueue([], 2, 2);
    queue.push(createQueueItem(1, 0), 0);
    queue.push(createQueueItem(2, 0), 0);
    expect(queue.remove(createQueueItem(1, 0).id)?.id).toBe('work-1');
    expect(queue.remove(createQueueItem(1, 0).id)).toBeUndefined();
    expect(queue.push(createQueueItem(3, 0), 0)).toBe('accepted');
    expect([queue.pop(0, canRunAll)?.id, queue.pop(0, canRunAll)?.id]).toEqual([
      'work-2',
      'work-3',
    ]);
    expect(queue.pop(0, canRunAll)).toBeUndefined();
  });
});
