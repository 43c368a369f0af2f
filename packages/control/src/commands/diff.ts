import { differenceOf, ruleLines } from '@zincring/rules';

import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failPlatform, failRules } from '../context/failures.js';
import { exitCodes } from '../exitCode.js';
import { formatDifference, readStoredRules } from '../storedRules.js';

/** What `diff` takes. */
export interface DiffOptions {
  readonly file: string;
}

/** Tells what applying a rule file would change. */
export async function diff(context: ControlContext, options: DiffOptions): Promise<ExitCode> {
  const wanted = ruleLines(await context.readFile(options.file));
  if (wanted.err) {
    return failRules(context, wanted.val);
  }
  const stored = await readStoredRules(context.changes);
  if (stored.err) {
    return failPlatform(context, stored.val);
  }
  const difference = differenceOf(stored.val.lines, wanted.val);
  const { version } = stored.val.head;
  context.output.report({
    json: { ...difference, version },
    text: formatDifference(difference),
  });
  return exitCodes.done;
}
