import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';

import { discardingMetrics } from '../../src/metrics/metrics.js';
import { allMetricNames, describeMetric } from '../../src/metrics/metricTable.js';

const page = readFileSync(
  new URL('../../../../docs/operators/metrics.md', import.meta.url),
  'utf8',
);

describe('the table of metrics', () => {
  it('stands in the operators’ page, row by row and nothing else', () => {
    const rows = page.split('\n').filter(line => line.startsWith('| `'));
    const expected = allMetricNames.map(name => {
      const { tags, text, type, unit } = describeMetric(name);
      const tagList = tags.length === 0 ? '' : tags.map(tag => `\`${tag}\``).join(', ');
      return ['', `\`zincring.${name}\``, type, unit, tagList, text, ''];
    });
    expect(rows.map(row => row.split('|').map(cell => cell.trim()))).toEqual(expected);
  });

  it('compiles for its own names, types and tags alone', () => {
    discardingMetrics.increment('limits.refused', 1, { workspace: 'utility' });
    // @ts-expect-error no such name
    discardingMetrics.increment('limits.refuse');
    // @ts-expect-error a gauge is not a counter
    discardingMetrics.increment('configuration.version');
    // @ts-expect-error no such tag
    discardingMetrics.increment('limits.refused', 1, { kind: 'rate-limited' });
    expect(allMetricNames).toContain('limits.refused');
  });
});
