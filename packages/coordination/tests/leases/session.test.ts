import type { IncarnationId } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import { Session } from '../../src/index.js';
import { terms } from './leaseCluster.js';
import { createSharedPlatform, deliverLateWrites, PausableNode } from './pausableNode.js';

describe('a renewal that the holder no longer waits for', () => {
  it('is recognized when it arrives between the read of the row and the next renewal', async () => {
    const platform = createSharedPlatform();
    const node = new PausableNode(platform);
    const session = new Session({
      address: '127.0.0.1:1',
      incarnation: 'entry-1.1' as IncarnationId,
      instance: 'entry-1',
      table: {
        ...node.table,
        read: async keys => {
          const rows = await node.table.read(keys);
          deliverLateWrites(platform);
          return rows;
        },
      },
      terms,
      timers: node.timers,
    });
    expect(await session.renew()).toBe('renewed');
    node.nextWriteOutcome = { count: 1, outcome: 'late', prefix: 'session/' };
    expect(await session.renew()).toBe('unknown');
    expect(await session.renew()).toBe('renewed');
    expect(await session.renew()).toBe('renewed');
  });
});
