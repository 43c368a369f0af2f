import type { Result } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';
import type { StatusResponse } from '@zincring/protocol';

import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failPlatform } from '../context/failures.js';
import { formatTable } from '../context/output.js';
import { exitCodes } from '../exitCode.js';
import { inBatches } from '../waitInForce.js';

interface InstanceAnswer {
  readonly entry: DirectoryEntry;
  readonly status: Result<StatusResponse, string>;
}

/** Asks every instance of the platform's list how it stands. */
export async function status(context: ControlContext): Promise<ExitCode> {
  const [listed, head] = await Promise.all([context.directory.list(), context.changes.readHead()]);
  if (listed.err) {
    return failPlatform(context, listed.val);
  }
  const instances = listed.val.filter(({ role }) => role.kind === 'entry');
  const answers = await inBatches(instances, async entry => ({
    entry,
    status: await context.operators.at(entry.address).status(),
  }));
  const version = head.ok ? head.val.version : undefined;
  context.output.report({
    json: { instances: answers.map(toJson), version: version ?? null },
    text: [
      `version in the store: ${version === undefined ? 'cannot be read' : String(version)}`,
      instanceTable(answers),
      ...upstreamTable(answers),
      ...limitTable(answers),
    ].join('\n\n'),
  });
  return exitCodes.done;
}

function instanceTable(answers: readonly InstanceAnswer[]): string {
  const head = ['instance', 'zone', 'list', 'ready', 'version', 'shards', 'programs', 'peers'];
  const rows = answers.map(({ entry, status }) => {
    const place = [entry.id, entry.zone, entry.state];
    if (status.err) {
      return [...place, `no answer: ${status.val}`];
    }
    const { configurationVersion, peersAlive, programs, shards } = status.val;
    const numbers = [shards.length, programs, peersAlive].map(String);
    const version = `${configurationVersion.toString()}${describeBlock(status.val)}`;
    return [...place, describeReadiness(status.val), version, ...numbers];
  });
  return formatTable(head, rows);
}

function describeReadiness(status: StatusResponse): string {
  if (status.draining) {
    return 'draining';
  }
  return status.ready ? 'yes' : 'no';
}

function describeBlock({ blockedReason, blockedVersion }: StatusResponse): string {
  return blockedVersion === 0n
    ? ''
    : ` (blocked at ${blockedVersion.toString()}: ${blockedReason})`;
}

function upstreamTable(answers: readonly InstanceAnswer[]): readonly string[] {
  const rows = answers.flatMap(({ entry, status }) =>
    status.ok
      ? status.val.upstreams.map(({ id, inFlight, service, state, window, zone }) => {
          const bound = window === 0 ? '-' : String(window);
          return [entry.id, service, id, zone, state, String(inFlight), bound];
        })
      : [],
  );
  const head = ['instance', 'service', 'upstream', 'zone', 'state', 'in flight', 'bound'];
  return rows.length === 0 ? [] : [formatTable(head, rows)];
}

function limitTable(answers: readonly InstanceAnswer[]): readonly string[] {
  const rows = answers.flatMap(({ entry, status }) =>
    status.ok
      ? status.val.limits.map(({ granted, refused, tokens, workspace }) => {
          const numbers = [tokens.toFixed(1), granted.toString(), refused.toString()];
          return [entry.id, workspace, ...numbers];
        })
      : [],
  );
  const head = ['instance', 'workspace', 'tokens', 'granted', 'refused'];
  return rows.length === 0 ? [] : [formatTable(head, rows)];
}

function toJson({ entry, status }: InstanceAnswer): unknown {
  const place = { address: entry.address, instance: entry.id, list: entry.state, zone: entry.zone };
  if (status.err) {
    return { ...place, failure: status.val };
  }
  const { val } = status;
  return {
    ...place,
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
