import type { Result } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';
import type { StatusResponse } from '@zincring/protocol';

import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failPlatform } from '../context/failures.js';
import { formatTable } from '../context/output.js';
import { exitCodes } from '../exitCode.js';
import { mapInBatches } from '../waitUntilInForce.js';

/** Directory entry of an instance with its status, or the reason why it did not respond. */
interface InstanceStatus {
  readonly entry: DirectoryEntry;
  readonly status: Result<StatusResponse, string>;
}

/** Shows the status of every instance in the platform's directory. */
export async function status(context: ControlContext): Promise<ExitCode> {
  const [listed, head] = await Promise.all([context.directory.list(), context.changes.readHead()]);
  if (listed.err) {
    return failPlatform(context, listed.val);
  }
  const instances = listed.val.filter(({ role }) => role.kind === 'entry');
  const instanceStatuses = await mapInBatches(instances, async entry => ({
    entry,
    status: await context.operators.clientFor(entry.address).status(),
  }));
  const version = head.ok ? head.val.version : undefined;
  context.output.report({
    json: { instances: instanceStatuses.map(toJson), version: version ?? null },
    text: [
      `version in the store: ${version === undefined ? 'cannot be read' : String(version)}`,
      formatInstanceTable(instanceStatuses),
      ...formatUpstreamTable(instanceStatuses),
      ...formatLimitTable(instanceStatuses),
    ].join('\n\n'),
  });
  return exitCodes.done;
}

function formatInstanceTable(instanceStatuses: readonly InstanceStatus[]): string {
  const header = ['instance', 'zone', 'list', 'ready', 'version', 'shards', 'programs', 'peers'];
  const rows = instanceStatuses.map(({ entry, status }) => {
    const listing = [entry.id, entry.zone, entry.state];
    if (status.err) {
      return [...listing, `no answer: ${status.val}`];
    }
    const { configurationVersion, peersAlive, programs, shards } = status.val;
    const counts = [shards.length, programs, peersAlive].map(String);
    const version = `${configurationVersion.toString()}${describeBlockedVersion(status.val)}`;
    return [...listing, describeReadiness(status.val), version, ...counts];
  });
  return formatTable(header, rows);
}

function describeReadiness(status: StatusResponse): string {
  if (status.draining) {
    return 'draining';
  }
  return status.ready ? 'yes' : 'no';
}

function describeBlockedVersion({ blockedReason, blockedVersion }: StatusResponse): string {
  return blockedVersion === 0n
    ? ''
    : ` (blocked at ${blockedVersion.toString()}: ${blockedReason})`;
}

function formatUpstreamTable(instanceStatuses: readonly InstanceStatus[]): readonly string[] {
  const rows = instanceStatuses.flatMap(({ entry, status }) =>
    status.ok
      ? status.val.upstreams.map(({ id, inFlight, service, state, window, zone }) => {
          const windowText = window === 0 ? '-' : String(window);
          return [entry.id, service, id, zone, state, String(inFlight), windowText];
        })
      : [],
  );
  const header = ['instance', 'service', 'upstream', 'zone', 'state', 'in flight', 'bound'];
  return rows.length === 0 ? [] : [formatTable(header, rows)];
}

function formatLimitTable(instanceStatuses: readonly InstanceStatus[]): readonly string[] {
  const rows = instanceStatuses.flatMap(({ entry, status }) =>
    status.ok
      ? status.val.limits.map(({ granted, refused, tokens, workspace }) => {
          const counts = [tokens.toFixed(1), granted.toString(), refused.toString()];
          return [entry.id, workspace, ...counts];
        })
      : [],
  );
  const header = ['instance', 'workspace', 'tokens', 'granted', 'refused'];
  return rows.length === 0 ? [] : [formatTable(header, rows)];
}

function toJson({ entry, status }: InstanceStatus): unknown {
  const listing = {
    address: entry.address,
    instance: entry.id,
    list: entry.state,
    zone: entry.zone,
  };
  if (status.err) {
    return { ...listing, failure: status.val };
  }
  const { val } = status;
  return {
    ...listing,
    blockedReason: val.blockedReason,
    blockedVersion: Number(val.blockedVersion),
    configurationVersion: Number(val.configurationVersion),
    draining: val.draining,
    incarnation: val.incarnation,
    limits: val.limits.map(({ granted, refused, tokens, workspace }) => ({
      granted: Number(granted),
      refused: Number(refused),
      tokens,
      workspace,
    })),
    newestVersion: Number(val.newestVersion),
    peersAlive: val.peersAlive,
    programs: val.programs,
    ready: val.ready,
    shards: val.shards,
    storeAgeMilliseconds:
      val.storeAgeMilliseconds === undefined ? null : Number(val.storeAgeMilliseconds),
    upstreams: val.upstreams.map(({ id, inFlight, service, state, window, zone }) => ({
      id,
      inFlight,
      service,
      state,
      window,
      zone,
    })),
  };
}
