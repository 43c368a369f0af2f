import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

import { GatewayMetrics } from '../../src/observation/gatewayMetrics.js';

const OPERATIONS = join(import.meta.dirname, '../../../../docs/OPERATIONS.md');
/** A line of the table: name, kind and labels. */
const TABLE_LINE = /^\| `(zincring_\w+)` +\| (\w+) +\| ([^|]*)\|/gmu;

interface ServedMetric {
  readonly name: string;
  readonly type: string;
  readonly labelNames: readonly string[];
}

describe(GatewayMetrics, () => {
  it('serves what the operators are told, with the same labels', async () => {
    const text = await readFile(OPERATIONS, 'utf8');
    const told = [...text.matchAll(TABLE_LINE)].map(([, name, kind, labels = '']) => ({
      kind,
      labels: [...labels.matchAll(/`(\w+)`/gu)].map(([, label]) => label),
      name,
    }));
    const { registry } = new GatewayMetrics();
    const served = (registry.getMetricsAsArray() as unknown as readonly ServedMetric[]).map(
      ({ labelNames, name, type }) => ({ kind: type, labels: [...labelNames], name }),
    );
    expect(served).toEqual(told);
  });
});
