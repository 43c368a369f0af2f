import type { GatewayConfiguration, GatewayWorkspace } from '../gatewayConfiguration.js';
import type { Finding } from './finding.js';

/** Entry of a configuration that has a name. */
interface NamedEntry {
  readonly name: string;
}

/**
 * Lists what a configuration would change of the one in force. Of keys only the numbers of added and
 * withdrawn ones appear.
 *
 * @example
 * compareConfigurations(inForce, proposed).map(formatFinding);
 */
export function compareConfigurations(
  inForce: GatewayConfiguration,
  proposed: GatewayConfiguration,
): readonly Finding[] {
  const earlierWorkspaces = inForce.workspaces ?? [];
  const laterWorkspaces = proposed.workspaces ?? [];
  return [
    ...compareVersions(inForce, proposed),
    ...compareWorkspaceLists(inForce, proposed),
    ...compareEntries('route', inForce.routes, proposed.routes),
    ...compareEntries('service', inForce.services, proposed.services),
    ...compareEntries(
      'workspace',
      earlierWorkspaces.map(withoutKeys),
      laterWorkspaces.map(withoutKeys),
    ),
    ...compareKeys(earlierWorkspaces, laterWorkspaces),
    ...describeChanges('limits', inForce.callerLimits, proposed.callerLimits),
  ];
}

function compareVersions(
  inForce: GatewayConfiguration,
  proposed: GatewayConfiguration,
): readonly Finding[] {
  return proposed.version > inForce.version
    ? []
    : [
        {
          kind: 'error',
          subject: 'version',
          text: `${String(proposed.version)} is not above ${String(inForce.version)}, which is in force; instances ignore it`,
        },
      ];
}

function compareWorkspaceLists(
  { workspaces: before }: GatewayConfiguration,
  { workspaces: after }: GatewayConfiguration,
): readonly Finding[] {
  if ((before === undefined) === (after === undefined)) {
    return [];
  }
  const text =
    after === undefined
      ? 'the list is removed: no key is accepted, and routes that are not open get no requests'
      : 'the list is added';
  return [describeChange('workspaces', text)];
}

function compareEntries(
  noun: string,
  before: readonly NamedEntry[],
  after: readonly NamedEntry[],
): readonly Finding[] {
  const earlier = new Map(before.map(entry => [entry.name, entry]));
  const later = new Set(after.map(({ name }) => name));
  const removed = before
    .filter(({ name }) => !later.has(name))
    .map(({ name }) => describeChange(`${noun} ${name}`, 'is removed'));
  return [
    ...removed,
    ...after.flatMap(entry => {
      const subject = `${noun} ${entry.name}`;
      const known = earlier.get(entry.name);
      return known === undefined
        ? [describeChange(subject, 'is added')]
        : describeChanges(subject, known, entry);
    }),
  ];
}

function describeChanges(subject: string, before: object, after: object): readonly Finding[] {
  const earlier = new Map<string, unknown>(Object.entries(before));
  return Object.entries(after).flatMap(([field, value]) => {
    const from = toText(earlier.get(field));
    const to = toText(value);
    return from === to ? [] : [describeChange(subject, `${field} changes from ${from} to ${to}`)];
  });
}

function toText(value: unknown): string {
  return value === undefined ? 'none' : JSON.stringify(value);
}

function compareKeys(
  before: readonly GatewayWorkspace[],
  after: readonly GatewayWorkspace[],
): readonly Finding[] {
  return after.flatMap(({ keys, name }) => {
    const earlier = before.find(workspace => workspace.name === name);
    const added = keys.filter(key => earlier?.keys.includes(key) === false).length;
    const withdrawn = earlier?.keys.filter(key => !keys.includes(key)).length ?? 0;
    return added + withdrawn === 0
      ? []
      : [
          describeChange(
            `workspace ${name}`,
            `${String(added)} keys are added, ${String(withdrawn)} withdrawn`,
          ),
        ];
  });
}

function withoutKeys(workspace: GatewayWorkspace): GatewayWorkspace {
  return { ...workspace, keys: [] };
}

function describeChange(subject: string, text: string): Finding {
  return { kind: 'change', subject, text };
}
