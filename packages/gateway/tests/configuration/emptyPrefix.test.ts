import { describe, expect, it } from 'vitest';

import type { RouteName } from '../../src/configuration/gatewayConfiguration.js';

import { ConfigurationIndex } from '../../src/configuration/configurationIndex.js';
import { sampleConfiguration, sampleRoute } from '../support/samples.js';

const named = sampleRoute();
const unnamed = sampleRoute({ isOpen: true, name: 'unnamed' as RouteName, pathPrefix: '' });
const root = sampleRoute({ name: 'root' as RouteName, pathPrefix: '/' });

/** Guards against a route whose prefix was left out and that opens all paths of its host. */
describe('a route with an empty path prefix', () => {
  it.each([[[unnamed, named]], [[named, unnamed]]])('matches no path (%#)', routes => {
    const index = new ConfigurationIndex(sampleConfiguration(1, { routes }));
    expect(index.findRoute('agents.example', '/summaries/7')).toBe(named);
    expect(index.findRoute('agents.example', '/payroll/7')).toBeUndefined();
    expect(index.findRoute('agents.example', '')).toBeUndefined();
  });

  it('differs from that of all paths', () => {
    const index = new ConfigurationIndex(sampleConfiguration(1, { routes: [root, unnamed] }));
    expect(index.findRoute('agents.example', '/payroll/7')).toBe(root);
  });
});
