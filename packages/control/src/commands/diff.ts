import { diffRuleLines, parseCanonicalLines } from '@zincring/rules';

import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failPlatform, failRules } from '../context/failures.js';
import { exitCodes } from '../exitCode.js';
import { formatDifference, readStoredRules } from '../storedRules.js';

/** Options of `diff`. */
export interface DiffOptions {
  readonly file: string;
}

/** Shows what applying a rule file would change. */
export async function diff(context: ControlContext, options: DiffOptions): Promise<ExitCode> {
  const fileLines = parseCanonicalLines(await context.readFile(options.file));
  if (fileLines.err) {
    return failRules(context, fileLines.val);
  }
  const stored = await readStoredRules(context.changes);
  if (stored.err) {
    return failPlatform(context, stored.val);
  }
  const difference = diffRuleLines(stored.val.lines, fileLines.val);
  const { version } = stored.val.head;
  context.output.report({
    json: { ...difference, version },
    text: formatDifference(difference),
  });
  return exitCodes.done;
}
