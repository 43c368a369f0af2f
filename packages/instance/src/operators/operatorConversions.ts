import type { MessageInitShape } from '@bufbuild/protobuf';
import type { InstanceId } from '@zincring/core';
import type { Change, Update } from '@zincring/coordination';
import type {
  ConfigurationChangeSchema,
  ReadConfigurationResponseSchema,
  ShowProgramResponseSchema,
  StatusResponseSchema,
} from '@zincring/protocol';

import type { InstanceReport, ProgramReport } from './operatorStatus.js';

/** Converts the report of an instance to a message. */
export function instanceToMessage(
  report: InstanceReport,
): MessageInitShape<typeof StatusResponseSchema> {
  const { blocked, newestVersion, storeAgeMilliseconds, version } = report.configuration;
  return {
    blockedReason: blocked?.reason ?? '',
    blockedVersion: BigInt(blocked?.version ?? 0),
    configurationVersion: BigInt(version),
    draining: report.isDraining,
    incarnation: report.incarnation,
    instance: report.instance,
    limits: report.limits.map(limit => ({
      ...limit,
      granted: BigInt(limit.granted),
      refused: BigInt(limit.refused),
    })),
    newestVersion: BigInt(newestVersion),
    peersAlive: report.peersAlive,
    programs: report.programs,
    ready: report.isReady,
    shards: [...report.shards],
    ...(storeAgeMilliseconds === undefined
      ? {}
      : { storeAgeMilliseconds: BigInt(Math.round(storeAgeMilliseconds)) }),
    upstreams: [...report.upstreams],
    zone: report.zone,
  };
}

/** Converts the report of a program to a message; `found` is false if there is no report. */
export function programToMessage(
  holder: InstanceId,
  report: ProgramReport | undefined,
): MessageInitShape<typeof ShowProgramResponseSchema> {
  if (report === undefined) {
    return { found: false, holder };
  }
  return {
    callsLeft: report.callsLeft,
    digest: report.digest,
    durableTurn: report.durableTurn,
    ended: report.hasEnded,
    found: true,
    holder,
    policy: report.policy,
    shard: report.shard,
    tokensLeft: BigInt(report.tokensLeft),
    turn: report.turn,
    workspace: report.workspace,
  };
}

/** Converts an update of the configuration to a message. */
export function updateToMessage(
  update: Update,
): MessageInitShape<typeof ReadConfigurationResponseSchema> {
  const { changes, newest, snapshot } = update;
  return {
    changes: changes.map(changeToMessage),
    newest: BigInt(newest),
    ...(snapshot === undefined
      ? {}
      : { snapshot: { lines: [...snapshot.lines], version: BigInt(snapshot.version) } }),
  };
}

function changeToMessage(change: Change): MessageInitShape<typeof ConfigurationChangeSchema> {
  return {
    ...change,
    added: [...change.added],
    at: BigInt(change.at),
    removed: [...change.removed],
    version: BigInt(change.version),
  };
}
