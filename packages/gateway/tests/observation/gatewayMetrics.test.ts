import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

import { GatewayMetrics } from '../../src/observation/gatewayMetrics.js';

const OPERATIONS_PAGE = join(import.meta.dirname, '../../../../docs/OPERATIONS.md');
/** Matches a row of the documented table of metrics: name, kind and labels. */
const METRIC_ROW = /^\| `(zincring_\w+)` +\| (\w+) +\| ([^|]*)\|/gmu;

interface ServedMetric {
  readonly name: string;
  readonly type: string;
  readonly labelNames: readonly string[];
}

describe(GatewayMetrics, () => {
  it('serves the documented metrics with the documented labels', async () => {
    const text = await readFile(OPERATIONS_PAGE, 'utf8');
    const documented = [...text.matchAll(METRIC_ROW)].map(([, name, kind, labels = '']) => ({
      kind,
      labels: [...labels.matchAll(/`(\w+)`/gu)].map(([, label]) => label),
      name,
    }));
    const { registry } = new GatewayMetrics();
    const served = (registry.getMetricsAsArray() as unknown as readonly ServedMetric[]).map(
      ({ labelNames, name, type }) => ({ kind: type, labels: [...labelNames], name }),
    );
    expect(served).toEqual(documented);
  });
});
