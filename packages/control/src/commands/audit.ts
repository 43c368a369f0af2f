import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failPlatform } from '../context/failures.js';
import { exitCodes } from '../exitCode.js';
import { formatChange, formatDifference } from '../storedRules.js';

/** Options of `audit`. */
export interface AuditOptions {
  /** Only changes after this version are shown; `undefined` shows the most recent ones. */
  readonly after: number | undefined;
  /** Maximum number of changes. */
  readonly limit: number;
  /** Whether to show the added and removed lines of each change. */
  readonly includesLines: boolean;
}

/** Shows accepted changes with their time, requester and reason. */
export async function audit(context: ControlContext, options: AuditOptions): Promise<ExitCode> {
  const head = await context.changes.readHead();
  if (head.err) {
    return failPlatform(context, head.val);
  }
  const after = options.after ?? Math.max(0, head.val.version - options.limit);
  const history = await context.changes.readHistory({ after, limit: options.limit });
  if (history.err) {
    return failPlatform(context, history.val);
  }
  const lines = history.val.flatMap(change => [
    formatChange(change),
    ...(options.includesLines ? [formatDifference(change)] : []),
  ]);
  context.output.report({ json: { changes: history.val }, text: lines.join('\n') });
  return exitCodes.done;
}
