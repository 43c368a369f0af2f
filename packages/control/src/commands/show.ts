import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failPlatform } from '../context/failures.js';
import { exitCodes } from '../exitCode.js';
import { readStoredRules, sortRuleLines } from '../storedRules.js';
import { formatVersionComment } from '../versionComment.js';

/** Writes the newest rules as a rule file that `apply` accepts. */
export async function show(context: ControlContext): Promise<ExitCode> {
  const stored = await readStoredRules(context.changes);
  if (stored.err) {
    return failPlatform(context, stored.val);
  }
  const { version } = stored.val.head;
  const lines = sortRuleLines(stored.val.lines);
  context.output.report({
    json: { lines, version },
    text: [formatVersionComment(version), ...lines].join('\n'),
  });
  return exitCodes.done;
}
