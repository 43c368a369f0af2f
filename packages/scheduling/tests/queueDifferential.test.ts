import type { WorkspaceName } from '@zincring/core';
import type { QueueItem } from '@zincring/scheduling';

import {
  AttainedServiceOrder,
  defaultAttainedServiceOptions,
  FairWorkQueue,
} from '@zincring/scheduling';
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';

import { canRunAll, queueItem } from './items.js';

const SEED = 5_001;
const WORKSPACES = 5;
const MAX_LEAD = 5_000;
const ITEMS_LOOKED_AT = 4;
const weights = [1, 2, 0.5, 1, 4];
const weightOf = (workspace: WorkspaceName): number => weights[Number(workspace.split('-')[1])]!;
const order = new AttainedServiceOrder();

/** The queue in its plainest form: lists that are searched from end to end. */
class PlainQueue {
  public readonly waiting: { readonly item: QueueItem; readonly key: number }[] = [];
  private readonly tags = new Map<WorkspaceName, number>();
  private virtualTime = 0;

  public push(item: QueueItem, now: number): void {
    if (this.itemsOf(item.workspace).length === 0) {
      this.tags.set(item.workspace, Math.max(this.tagOf(item.workspace), this.virtualTime));
    }
    this.waiting.push({ item, key: order.keyOf(item, now) });
  }

  /** Every item that a correct queue may pop next. */
  public candidates(canRun: (item: QueueItem) => boolean): readonly QueueItem[] {
    const firsts = [...new Set(this.waiting.map(({ item }) => item.workspace))]
      .map(workspace => this.itemsOf(workspace).slice(0, ITEMS_LOOKED_AT).find(canRun))
      .filter(item => item !== undefined);
    const least = Math.min(...firsts.map(item => this.tagOf(item.workspace)));
    return firsts.filter(item => this.tagOf(item.workspace) === least);
  }

  public take(item: QueueItem): void {
    this.drop(item);
    this.virtualTime = Math.max(this.virtualTime, this.tagOf(item.workspace));
    this.charge(item.workspace, item.estimatedTokens);
  }

  public drop(item: QueueItem): void {
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
    const wanted = Math.max(tag, this.virtualTime) + tokens / weight;
    this.tags.set(workspace, Math.min(wanted, Math.max(tag, this.virtualTime + MAX_LEAD / weight)));
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

const step = fc.oneof(
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

describe('FairWorkQueue against a plain version', () => {
  test('pops what the plain version allows, through any history', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120, minLength: 20 }), steps => {
        const queue = new FairWorkQueue({
          maxItems: 1_000,
          maxItemsPerWorkspace: 1_000,
          maxLeadTokens: MAX_LEAD,
          weightOf,
        });
        const plain = new PlainQueue();
        const popped: QueueItem[] = [];
        for (const [index, each] of steps.entries()) {
          const now = index * 100;
          switch (each.kind) {
            case 'push': {
              const item = queueItem(index, each.workspace, {
                attainedTokens: each.attained,
                estimatedTokens: each.tokens,
              });
              expect(queue.push(item, now)).toBe('accepted');
              plain.push(item, now);
              break;
            }
            case 'pop': {
              const canRun = (item: QueueItem): boolean =>
                Number(item.id.split('-')[1]) % 2 !== each.parity;
              const candidates = plain.candidates(canRun);
              const item = queue.pop(now, canRun);
              if (item === undefined) {
                expect(candidates).toEqual([]);
                break;
              }
              expect(candidates).toContain(item);
              plain.take(item);
              popped.push(item);
              break;
            }
            case 'remove': {
              const item = plain.waiting[each.pick % Math.max(1, plain.waiting.length)]?.item;
              if (item !== undefined) {
                expect(queue.remove(item.id)).toBe(item);
                plain.drop(item);
              }
              break;
            }
            case 'settle': {
              const item = popped.pop();
              if (item !== undefined) {
                queue.settle(item.id, each.tokens);
                plain.charge(item.workspace, each.tokens - item.estimatedTokens);
              }
              break;
            }
            case 'remote': {
              const workspace = `workspace-${each.workspace}` as WorkspaceName;
              queue.observeRemoteUse(workspace, each.tokens);
              plain.charge(workspace, each.tokens);
              break;
            }
          }
          expect(queue.size).toBe(plain.waiting.length);
        }
      }),
      { numRuns: 300, seed: SEED },
    );
  });

  test('workspaces that always wait get service by weight within one item of the largest size', () => {
    const tokens = fc.array(fc.integer({ max: 2_000, min: 1 }), { maxLength: 400, minLength: 200 });
    fc.assert(
      fc.property(tokens, sizes => {
        const queue = new FairWorkQueue({
          maxItems: 10_000,
          maxItemsPerWorkspace: 10_000,
          weightOf,
        });
        const served = weights.map(() => 0);
        const pushFor = (workspace: number, index: number): void => {
          const estimatedTokens = sizes[index % sizes.length]!;
          queue.push(queueItem(nextId++, workspace, { estimatedTokens }), 0);
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

  test('no item starves while shorter programs keep coming, and memory stays bounded', () => {
    const queue = new FairWorkQueue({
      maxItems: 50,
      maxItemsPerWorkspace: 50,
      order: new AttainedServiceOrder({
        ...defaultAttainedServiceOptions,
        longestHoldMilliseconds: 20_000,
      }),
      weightOf,
    });
    queue.push(queueItem(0, 0, { attainedTokens: 1e9 }), 0);
    let poppedAt: number | undefined;
    for (let now = 10; now < 100_000 && poppedAt === undefined; now += 10) {
      queue.push(queueItem(now, 0), now);
      queue.push(queueItem(now + 1, 0), now);
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
