import type { AvailabilityZone, UpstreamId, WorkspaceName } from '@zincring/core';
import type { ScheduledItem, WorkId } from '@zincring/scheduling';

import {
  CostReplicaChooser,
  FairWorkQueue,
  WindowedServiceScheduler,
  WorkspaceUse,
} from '@zincring/scheduling';
import { describe, expect, test } from 'vitest';

import { createQueueItem } from './queueItems.js';

const zone = 'nelson' as AvailabilityZone;
const replicaId = (index: number): UpstreamId => `replica-${index}` as UpstreamId;

function createScheduler(
  replicas: number,
  maximumCalls = 1,
): WindowedServiceScheduler<ScheduledItem> {
  const scheduler = new WindowedServiceScheduler<ScheduledItem>({
    belowShareOverflow: 1,
    chooser: new CostReplicaChooser({
      batchDelayMillisecondsPerToken: 0,
      callMilliseconds: 1_000,
      maximumPrefixes: 100,
      prefillMillisecondsPerToken: 0.1,
      random: () => 0,
      sharingMilliseconds: 30,
      slotsPerReplica: maximumCalls,
      zone,
      zoneMilliseconds: 0,
    }),
    queue: new FairWorkQueue({
      maximumItems: 100,
      maximumItemsPerWorkspace: 100,
      weightOf: () => 1,
    }),
    suspicionMilliseconds: 2_000,
    window: { callMilliseconds: 1_000, instances: 1, maximumCalls, targetWaiting: 1 },
  });
  scheduler.update(
    Array.from({ length: replicas }, (_, index) => ({ id: replicaId(index), zone })),
  );
  return scheduler;
}

function scheduledItem(index: number, workspace: number): ScheduledItem {
  const excluded = new Set<UpstreamId>();
  return {
    ...createQueueItem(index, workspace),
    enqueuedAt: 0,
    excluded,
    prefixes: [],
    promptTokens: 1,
  };
}

function sendAll(scheduler: WindowedServiceScheduler<ScheduledItem>, now: number): string[] {
  const sent: string[] = [];
  for (let next = scheduler.next(now); next !== undefined; next = scheduler.next(now)) {
    sent.push(next.item.id);
  }
  return sent;
}

describe('WindowedServiceScheduler', () => {
  test('work beyond the windows waits, can be cancelled, and is sent when a call ends', () => {
    const scheduler = createScheduler(2);
    for (let index = 0; index < 5; index++) {
      scheduler.submit(scheduledItem(index, 0), 0);
    }
    const sent = sendAll(scheduler, 0);
    expect(sent.length).toBeLessThan(5);
    expect(scheduler.size).toBe(5 - sent.length);
    expect(scheduler.cancel('work-4' as WorkId)?.id).toBe('work-4');
    scheduler.recordEnd({ end: 'succeeded', id: sent[0] as WorkId, usedTokens: 100 }, 1_000);
    expect(sendAll(scheduler, 1_000)).toHaveLength(1);
    expect(scheduler.inFlight).toBe(sent.length);
  });

  test('a workspace below its share may exceed the window and gets the highest priority at the engine', () => {
    const scheduler = createScheduler(1);
    for (let index = 0; index < 5; index++) {
      scheduler.submit(scheduledItem(index, 0), 0);
    }
    const firstSentIds = sendAll(scheduler, 0);
    scheduler.recordEnd({ end: 'succeeded', id: firstSentIds[0] as WorkId, usedTokens: 900 }, 900);
    sendAll(scheduler, 900);
    scheduler.submit(scheduledItem(9, 1), 1_000);
    const dispatch = scheduler.next(1_000);
    expect(dispatch?.item.id).toBe('work-9');
    expect(dispatch?.priority).toBe(0);
    expect(scheduler.next(1_000)).toBeUndefined();
  });

  test('a failed replica gets no work during the suspicion period, and the scheduler reports when to try again', () => {
    const scheduler = createScheduler(1);
    scheduler.submit(scheduledItem(0, 0), 0);
    sendAll(scheduler, 0);
    scheduler.recordEnd({ end: 'failed', id: 'work-0' as WorkId, usedTokens: 0 }, 100);
    scheduler.submit(scheduledItem(1, 0), 100);
    let now = 100;
    while (scheduler.next(now) === undefined) {
      const wakeAt = scheduler.nextWakeAt(now);
      expect(wakeAt).toBeGreaterThan(now);
      now = wakeAt!;
    }
    expect(now).toBe(2_100);
  });
});

describe('WorkspaceUse', () => {
  test('counts tokens served by other instances once, even if messages are lost, duplicated or reordered', () => {
    let counted = 0;
    const localUse = new WorkspaceUse((_, tokens) => {
      counted += tokens;
    });
    const remoteUse = new WorkspaceUse(() => undefined);
    const messages = [100, 50, 25, 10].map(tokens => {
      remoteUse.add('w' as WorkspaceName, tokens);
      return remoteUse.listRecentTotals(10);
    });
    for (const index of [0, 2, 2, 1, 3]) {
      localUse.applyTotals('there-1' as never, messages[index]!);
    }
    expect(counted).toBe(50 + 25 + 10);
  });
});
