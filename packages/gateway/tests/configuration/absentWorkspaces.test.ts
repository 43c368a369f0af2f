import { describe, expect, it } from 'vitest';

import type { GatewayConfiguration } from '../../src/configuration/gatewayConfiguration.js';

import { admitByConfiguration } from '../../src/callers/admitByConfiguration.js';
import { ConfigurationIndex } from '../../src/configuration/configurationIndex.js';
import {
  sampleConfiguration,
  sampleFacts,
  sampleRoute,
  sampleWorkspace,
} from '../support/samples.js';

const KEY = 'key-of-clerks';

/** Returns what a request gets: the kind of the error, or `admitted`. */
function admit(
  overrides: Partial<GatewayConfiguration>,
  key: string | undefined,
  hadWorkspaces: boolean | undefined = false,
): string {
  const index = new ConfigurationIndex(sampleConfiguration(1, overrides));
  const request = { facts: sampleFacts({ key }), host: 'agents.example', path: '/summaries/7' };
  const admission = admitByConfiguration(index, request, { hadWorkspaces });
  return admission.ok ? 'admitted' : admission.val.kind;
}

/** Guards against an empty list of workspaces, or one without keys, that opens all routes as an absent list does. */
describe('routes that need a key, by the workspaces of the configuration', () => {
  it.each([
    ['a list without entries', []],
    ['a workspace without keys', [sampleWorkspace({ keys: [] })]],
    ['a workspace whose only key is empty', [sampleWorkspace({ keys: [''] })]],
  ])('admit nobody with %s', (_name, workspaces) => {
    expect(admit({ workspaces }, KEY)).toBe('key-rejected');
    expect(admit({ workspaces }, 'unknown')).toBe('key-rejected');
    expect(admit({ workspaces }, '')).toBe('key-rejected');
    expect(admit({ workspaces }, undefined)).toBe('key-missing');
  });

  it('admit the keys beside an empty one, and nobody with that', () => {
    const workspaces = [sampleWorkspace({ keys: ['', KEY] })];
    expect(admit({ workspaces }, KEY)).toBe('admitted');
    expect(admit({ workspaces }, '')).toBe('key-rejected');
  });

  it.each([KEY, 'unknown', undefined])('need none if there never was a list (%s)', key => {
    expect(admit({ workspaces: undefined }, key)).toBe('admitted');
  });

  it.each([
    [KEY, 'key-rejected'],
    ['unknown', 'key-rejected'],
    [undefined, 'key-missing'],
  ])('admit nobody once a list was left out (%s)', (key, kind) => {
    expect(admit({ workspaces: undefined }, key, true)).toBe(kind);
  });

  it.each([
    [KEY, 'key-rejected'],
    [undefined, 'key-missing'],
  ])('admit nobody while it is not known whether there was a list (%s)', (key, kind) => {
    const index = new ConfigurationIndex(sampleConfiguration(1, { workspaces: undefined }));
    const request = { facts: sampleFacts({ key }), host: 'agents.example', path: '/summaries/7' };
    const admission = admitByConfiguration(index, request, { hadWorkspaces: undefined });
    expect(admission.err && admission.val.kind).toBe(kind);
  });

  it.each([[undefined], [[]], [[sampleWorkspace()]]])(
    'need none while they are open, whatever the list contains (%j)',
    workspaces => {
      const routes = [sampleRoute({ isOpen: true })];
      expect(admit({ routes, workspaces }, undefined)).toBe('admitted');
      expect(admit({ routes, workspaces }, 'unknown')).toBe('admitted');
    },
  );
});
