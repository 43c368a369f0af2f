import type { WorkspaceName } from '@zincring/core';
import type { QueueItem } from '@zincring/scheduling';

import {
  AttainedServiceOrder,
  defaultAttainedServiceOptions,
  FairWorkQueue,
} from '@zincring/scheduling';
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';

import { canRunAll, createQueueItem } from './queueItems.js';

const SEED = 5_001;
const WORKSPACES = 5;
const MAXIMUM_LEAD_TOKENS = 5_000;
const ITEMS_CHECKED_PER_WORKSPACE = 4;
const weights = [1, 2, 0.5, 1, 4];
const weightOf = (workspace: WorkspaceName): number => weights[Number(workspace.split('-')[1])]!;
const order = new AttainedServiceOrder();

/** Reference implementation of the queue: a list that is searched linearly. */
class ReferenceQueue {
  public readonly waiting: { readonly item: QueueItem; readonly key: number }[] = [];
  private readonly tags = new Map<WorkspaceName, number>();
  private virtualTime = 0;

  public push(item: QueueItem, now: number): void {
    if (this.itemsOf(item.workspace).length === 0) {
      this.tags.set(item.workspace, Math.max(this.tagOf(item.workspace), this.virtualTime));
    }
    this.waiting.push({ item, key: order.keyOf(item, now) });
  }

  /** Returns every item that a correct queue may pop next. */
  public candidates(canRun: (item: QueueItem) => boolean): readonly QueueItem[] {
    const firstRunnableItems = [...new Set(this.waiting.map(({ item }) => item.workspace))]
      .map(workspace => this.itemsOf(workspace).slice(0, ITEMS_CHECKED_PER_WORKSPACE).find(canRun))
      .filter(item => item !== undefined);
    const lowestTag = Math.min(...firstRunnableItems.map(item => this.tagOf(item.workspace)));
    return firstRunnableItems.filter(item => this.tagOf(item.workspace) === lowestTag);
  }

  public dequeue(item: QueueItem): void {
    this.remove(item);
    this.virtualTime = Math.max(this.virtualTime, this.tagOf(item.workspace));
    this.charge(item.workspace, item.estimatedTokens);
  }

  public remove(item: QueueItem): void {
    this.waiting.splice(
      this.waiting.findIndex(entry => entry.item === item),
      1,
    );
  }

  public charge(workspace: WorkspaceName, tokens: number): void {
    const tag = this.tagOf(workspace);
    const weight = weightOf(workspace);
    if (tokens < 0) {
      this.tags.set(workspace, tag + tokens / weight);
      return;
    }
    const uncappedTag = Math.max(tag, this.virtualTime) + tokens / weight;
    this.tags.set(
      workspace,
      Math.min(uncappedTag, Math.max(tag, this.virtualTime + MAXIMUM_LEAD_TOKENS / weight)),
    );
  }

  private tagOf(workspace: WorkspaceName): number {
    return this.tags.get(workspace) ?? 0;
  }

  private itemsOf(workspace: WorkspaceName): readonly QueueItem[] {
    return this.waiting
      .filter(({ item }) => item.workspace === workspace)
      .sort((left, right) => left.key - right.key)
      .map(({ item }) => item);
  }
}

const operationArbitrary = fc.oneof(
  fc.record({
    attained: fc.integer({ max: 50_000, min: 0 }),
    kind: fc.constant('push' as const),
    tokens: fc.integer({ max: 2_000, min: 1 }),
    workspace: fc.nat(WORKSPACES - 1),
  }),
  fc.record({ kind: fc.constant('pop' as const), parity: fc.constantFrom(0, 1, 2) }),
  fc.record({ kind: fc.constant('remove' as const), pick: fc.nat(100) }),
  fc.record({ kind: fc.constant('settle' as const), tokens: fc.integer({ max: 4_000, min: 0 }) }),
  fc.record({
    kind: fc.constant('remote' as const),
    tokens: fc.integer({ max: 9_000, min: 1 }),
    workspace: fc.nat(WORKSPACES - 1),
  }),
);

describe('FairWorkQueue compared with a reference implementation', () => {
  test('pops an item that the reference allows, after any sequence of operations', () => {
    fc.assert(
      fc.property(fc.array(operationArbitrary, { maxLength: 120, minLength: 20 }), operations => {
        const queue = new FairWorkQueue({
          maximumItems: 1_000,
          maximumItemsPerWorkspace: 1_000,
          maximumLeadTokens: MAXIMUM_LEAD_TOKENS,
          weightOf,
        });
        const reference = new ReferenceQueue();
        const popped: QueueItem[] = [];
        for (const [index, operation] of operations.entries()) {
          const now = index * 100;
          switch (operation.kind) {
            case 'push': {
              const item = createQueueItem(index, operation.workspace, {
                attainedTokens: operation.attained,
                estimatedTokens: operation.tokens,
              });
              expect(queue.push(item, now)).toBe('accepted');
              reference.push(item, now);
              break;
            }
            case 'pop': {
              const canRun = (item: QueueItem): boolean =>
                Number(item.id.split('-')[1]) % 2 !== operation.parity;
              const candidates = reference.candidates(canRun);
              const item = queue.pop(now, canRun);
              if (item === undefined) {
                expect(candidates).toEqual([]);
                break;
              }
              expect(candidates).toContain(item);
              reference.dequeue(item);
              popped.push(item);
              break;
            }
            case 'remove': {
              const item =
                reference.waiting[operation.pick % Math.max(1, reference.waiting.length)]?.item;
              if (item !== undefined) {
                expect(queue.remove(item.id)).toBe(item);
                reference.remove(item);
              }
              break;
            }
            case 'settle': {
              const item = popped.pop();
              if (item !== undefined) {
                queue.settle(item.id, operation.tokens);
                reference.charge(item.workspace, operation.tokens - item.estimatedTokens);
              }
              break;
            }
            case 'remote': {
              const workspace = `workspace-${operation.workspace}` as WorkspaceName;
              queue.observeRemoteUse(workspace, operation.tokens);
              reference.charge(workspace, operation.tokens);
              break;
            }
          }
          expect(queue.size).toBe(reference.waiting.length);
        }
      }),
      { numRuns: 300, seed: SEED },
    );
  });

  test('workspaces with items always waiting are served by weight to within two of the largest items', () => {
    const tokens = fc.array(fc.integer({ max: 2_000, min: 1 }), { maxLength: 400, minLength: 200 });
    fc.assert(
      fc.property(tokens, sizes => {
        const queue = new FairWorkQueue({
          maximumItems: 10_000,
          maximumItemsPerWorkspace: 10_000,
          weightOf,
        });
        const served = weights.map(() => 0);
        const pushFor = (workspace: number, index: number): void => {
          const estimatedTokens = sizes[index % sizes.length]!;
          queue.push(createQueueItem(nextId++, workspace, { estimatedTokens }), 0);
        };
        let nextId = 0;
        for (let index = 0; index < 2 * WORKSPACES; index++) {
          pushFor(index % WORKSPACES, index);
        }
        for (const index of sizes.keys()) {
          const item = queue.pop(0, canRunAll)!;
          const workspace = Number(item.workspace.split('-')[1]);
          served[workspace]! += item.estimatedTokens / weightOf(item.workspace);
          pushFor(workspace, index);
          const largestItem = 2_000 / Math.min(...weights);
          expect(Math.max(...served) - Math.min(...served)).toBeLessThanOrEqual(2 * largestItem);
        }
      }),
      { numRuns: 100, seed: SEED },
    );
  });

  test('no item starves while programs with less attained service keep arriving, and memory stays bounded', () => {
    const queue = new FairWorkQueue({
      maximumItems: 50,
      maximumItemsPerWorkspace: 50,
      order: new AttainedServiceOrder({
        ...defaultAttainedServiceOptions,
        maximumDelayMilliseconds: 20_000,
      }),
      weightOf,
    });
    queue.push(createQueueItem(0, 0, { attainedTokens: 1e9 }), 0);
    let poppedAt: number | undefined;
    for (let now = 10; now < 100_000 && poppedAt === undefined; now += 10) {
      queue.push(createQueueItem(now, 0), now);
      queue.push(createQueueItem(now + 1, 0), now);
      poppedAt = queue.pop(now, canRunAll)?.id === 'work-0' ? now : undefined;
      expect(queue.size).toBeLessThanOrEqual(50);
    }
    expect(poppedAt).toBeLessThanOrEqual(25_000);
    for (let workspace = 0; workspace < 5_000; workspace++) {
      queue.observeRemoteUse(`workspace-${workspace % 5}x${workspace}` as WorkspaceName, 0);
    }
    expect(queue.workspaceCount).toBeLessThanOrEqual(50);
  });
});
