import type { GatewayConfiguration, GatewayWorkspace } from '../gatewayConfiguration.js';
import type { Finding, FindingKind } from './finding.js';

/** One property that a workspace should not have. */
interface WorkspaceCheck {
  readonly kind: FindingKind;
  readonly text: string;
  matches(workspace: GatewayWorkspace): boolean;
}

const workspaceChecks: readonly WorkspaceCheck[] = [
  {
    kind: 'error',
    matches: ({ keys }) => keys.includes(''),
    text: 'one of its keys is empty, which admits nobody',
  },
  {
    kind: 'unreachable',
    matches: ({ keys }) => keys.length === 0,
    text: 'it has no key, so no request belongs to it',
  },
  {
    kind: 'contradiction',
    matches: ({ burst, ratePerSecond }) => ratePerSecond > 0 && burst < 1,
    text: 'it has a rate, but its burst lets no request arrive',
  },
  {
    kind: 'contradiction',
    matches: ({ burst, ratePerSecond }) => ratePerSecond === 0 && burst > 0,
    text: 'it has a burst, but no rate, so its requests are not limited',
  },
];

/**
 * Reviews the workspaces of a configuration. Keys themselves never appear in the findings.
 *
 * @example
 * reviewWorkspaces(configuration).map(formatFinding);
 */
export function reviewWorkspaces({ workspaces = [] }: GatewayConfiguration): readonly Finding[] {
  return [
    ...workspaces.flatMap(workspace =>
      workspaceChecks
        .filter(check => check.matches(workspace))
        .map(({ kind, text }): Finding => ({ kind, subject: describe(workspace), text })),
    ),
    ...findSharedKeys(workspaces),
  ];
}

function findSharedKeys(workspaces: readonly GatewayWorkspace[]): readonly Finding[] {
  const holders = new Map<string, GatewayWorkspace>();
  return workspaces.flatMap(workspace =>
    workspace.keys
      .filter(key => key !== '')
      .flatMap((key): readonly Finding[] => {
        const holder = holders.get(key);
        holders.set(key, workspace);
        return holder === undefined || holder === workspace
          ? []
          : [
              {
                kind: 'error',
                subject: describe(workspace),
                text: `it has a key that workspace ${holder.name} has too`,
              },
            ];
      }),
  );
}

function describe({ name }: GatewayWorkspace): string {
  return `workspace ${name}`;
}
