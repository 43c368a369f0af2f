import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';

import { discardingMetrics } from '../../src/metrics/metrics.js';
import { allMetricNames, describeMetric } from '../../src/metrics/metricTable.js';

const page = readFileSync(
  new URL('../../../../docs/operators/metrics.md', import.meta.url),
  'utf8',
);

describe('metricTable', () => {
  it('equals the table in docs/operators/metrics.md row by row', () => {
    const rows = page.split('\n').filter(line => line.startsWith('| `'));
    const expected = allMetricNames.map(name => {
      const { tags, text, type, unit } = describeMetric(name);
      const tagList = tags.length === 0 ? '' : tags.map(tag => `\`${tag}\``).join(', ');
      return ['', `\`zincring.${name}\``, type, unit, tagList, text, ''];
    });
    expect(rows.map(row => row.split('|').map(cell => cell.trim()))).toEqual(expected);
  });

  it('rejects unknown names, wrong types and unknown tags at compile time', () => {
    discardingMetrics.increment('limits.refused', 1, { workspace: 'utility' });
    // @ts-expect-error unknown name
    discardingMetrics.increment('limits.refuse');
    // @ts-expect-error a gauge is not a counter
    discardingMetrics.increment('configuration.version');
    // @ts-expect-error unknown tag
    discardingMetrics.increment('limits.refused', 1, { kind: 'rate-limited' });
    expect(allMetricNames).toContain('limits.refused');
  });
});
