import type { PartitionedTable } from '@zincring/platform';

import { expect, it } from 'vitest';

import type { WorkspaceBucket } from '../../src/limits/workspaceBucket.js';

import { RATE_TABLE } from '../../src/limits/storeCreditSource.js';
import { responds } from '../support/fakeReplica.js';
import { safeRoute, startGateway } from '../support/gatewayFixture.js';
import {
  configurationAddress,
  plainService,
  sampleConfiguration,
  sampleWorkspace,
} from '../support/samples.js';

/** Notes the buckets that are written, by their rows. */
function recordBuckets(
  table: PartitionedTable,
  written: Map<string, WorkspaceBucket>,
): PartitionedTable {
  return {
    ...table,
    transact: async transaction => {
      for (const { key, table: name, value } of transaction.writes) {
        if (name === RATE_TABLE && !written.has(key)) {
          written.set(key, JSON.parse(value.toString()) as WorkspaceBucket);
        }
      }
      return await table.transact(transaction);
    },
  };
}

it('begins the buckets of a raised rate empty', async () => {
  const written = new Map<string, WorkspaceBucket>();
  const fixture = await startGateway(safeRoute, [[responds('done')]], {
    ratePerSecond: 100,
    wrapTable: table => recordBuckets(table, written),
  });
  await fixture.send();
  const [[firstRow, firstBucket]] = [...written] as [[string, WorkspaceBucket]];
  expect(firstBucket.tokens).toBeGreaterThan(90);
  fixture.store.put(
    configurationAddress,
    sampleConfiguration(2, {
      routes: [safeRoute],
      services: [plainService],
      workspaces: [sampleWorkspace({ burst: 1_300, ratePerSecond: 130 })],
    }),
  );
  for (let request = 0; written.size === 1; request++) {
    await fixture.send({ headers: { 'request-id': `later-${String(request)}` } });
  }
  const [, [laterRow, laterBucket]] = [...written] as [unknown, [string, WorkspaceBucket]];
  expect(laterRow).not.toBe(firstRow);
  expect(laterBucket.tokens).toBeLessThan(300);
});
