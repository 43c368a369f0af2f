import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failPlatform } from '../context/failures.js';
import { exitCodes } from '../exitCode.js';
import { formatChange, formatDifference } from '../storedRules.js';

/** What `audit` takes. */
export interface AuditOptions {
  /** Only changes after this version; the last ones when it is left out. */
  readonly after: number | undefined;
  /** At most this many changes. */
  readonly limit: number;
  /** Whether to show the lines of each change. */
  readonly hasLines: boolean;
}

/** Shows accepted changes with who asked for them, when and why. */
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
    ...(options.hasLines ? [formatDifference(change)] : []),
  ]);
  context.output.report({ json: { changes: history.val }, text: lines.join('\n') });
  return exitCodes.done;
}
