import type { ChangeOutcome } from '@zincring/coordination';

import type { ChangeOptions, ControlContext } from './context/controlContext.js';
import type { ExitCode } from './exitCode.js';
import type { InForceReport } from './waitInForce.js';

import { exitCodes } from './exitCode.js';
import { formatChange, formatDifference } from './storedRules.js';
import { waitInForce } from './waitInForce.js';

/** What a command tells beside the version. */
export interface ChangeReport {
  /** What became of the change; told from the outcome where it is left out. */
  readonly state?: 'unchanged';
  /** Fields for scripts. */
  readonly json: Readonly<Record<string, unknown>>;
  /** Lines for people. */
  readonly lines: readonly string[];
}

/** Tells which changes were accepted first. */
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

/** Waits until an accepted change is in force, and tells how it went. */
export async function finishChange(
  context: ControlContext,
  accepted: Extract<ChangeOutcome, { readonly status: 'accepted' }>,
  options: ChangeOptions,
  report: ChangeReport,
): Promise<ExitCode> {
  const { isRepeated, version } = accepted;
  const waited =
    options.waitSeconds === 0
      ? undefined
      : await waitInForce(context, version, options.waitSeconds);
  const state = report.state ?? (isRepeated ? 'had been accepted before' : 'accepted');
  context.output.report({
    json: {
      ...report.json,
      changeId: options.changeId,
      inForce: waited?.inForce,
      isRepeated,
      lagging: waited?.lagging,
      status: report.state ?? 'accepted',
      version,
    },
    text: [`version ${version} ${state}`, ...report.lines, ...describeWait(waited)].join('\n'),
  });
  const isInForce = waited === undefined || (waited.isListKnown && waited.lagging.length === 0);
  return isInForce ? exitCodes.done : exitCodes.notInForce;
}

function describeWait(waited: InForceReport | undefined): readonly string[] {
  if (waited === undefined) {
    return [];
  }
  const summary = `in force on ${waited.inForce.length} live instances`;
  const list = waited.isListKnown ? [] : ["the platform's list of instances cannot be read"];
  const lagging = waited.lagging.map(({ instance, reason }) => `not on ${instance}: ${reason}`);
  return [summary, ...list, ...lagging];
}
