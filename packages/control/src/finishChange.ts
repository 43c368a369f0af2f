import type { ChangeOutcome } from '@zincring/coordination';

import type { ChangeOptions, ControlContext } from './context/controlContext.js';
import type { ExitCode } from './exitCode.js';
import type { InForceReport } from './waitUntilInForce.js';

import { exitCodes } from './exitCode.js';
import { formatChange, formatDifference } from './storedRules.js';
import { waitUntilInForce } from './waitUntilInForce.js';

/** Additions of a command to the report of an accepted change. */
export interface ChangeReport {
  /** State of the change; derived from the outcome if left out. */
  readonly state?: 'unchanged';
  /** Additional fields of the JSON output. */
  readonly json: Readonly<Record<string, unknown>>;
  /** Additional lines of the text output. */
  readonly lines: readonly string[];
}

/** Reports the changes that were accepted first. */
export function failConflict(
  context: ControlContext,
  conflict: Extract<ChangeOutcome, { readonly status: 'conflict' }>,
): ExitCode {
  const { changes } = conflict;
  const text = [
    'conflict: other changes were accepted first, nothing was changed',
    ...changes.flatMap(change => [formatChange(change), formatDifference(change)]),
  ].join('\n');
  context.output.fail({ json: { changes, error: 'conflict' }, text });
  return exitCodes.conflict;
}

/** Waits until an accepted change is in force, if requested, and reports the result. */
export async function finishChange(
  context: ControlContext,
  accepted: Extract<ChangeOutcome, { readonly status: 'accepted' }>,
  options: ChangeOptions,
  report: ChangeReport,
): Promise<ExitCode> {
  const { isRepeated, version } = accepted;
  const inForceReport =
    options.waitSeconds === 0
      ? undefined
      : await waitUntilInForce(context, version, options.waitSeconds);
  const state = report.state ?? (isRepeated ? 'was already accepted' : 'accepted');
  context.output.report({
    json: {
      ...report.json,
      changeId: options.changeId,
      inForce: inForceReport?.inForce,
      isRepeated,
      lagging: inForceReport?.lagging,
      status: report.state ?? 'accepted',
      version,
    },
    text: [
      `version ${version} ${state}`,
      ...report.lines,
      ...describeInForceReport(inForceReport),
    ].join('\n'),
  });
  const isInForce =
    inForceReport === undefined ||
    (inForceReport.wasDirectoryRead && inForceReport.lagging.length === 0);
  return isInForce ? exitCodes.done : exitCodes.notInForce;
}

function describeInForceReport(inForceReport: InForceReport | undefined): readonly string[] {
  if (inForceReport === undefined) {
    return [];
  }
  const summary = `in force on ${inForceReport.inForce.length} live instances`;
  const listFailure = inForceReport.wasDirectoryRead
    ? []
    : ["the platform's list of instances cannot be read"];
  const laggingLines = inForceReport.lagging.map(
    ({ instance, reason }) => `not on ${instance}: ${reason}`,
  );
  return [summary, ...listFailure, ...laggingLines];
}
