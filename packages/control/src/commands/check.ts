import { parseRules } from '@zincring/rules';

import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failRules } from '../context/failures.js';
import { exitCodes } from '../exitCode.js';

/** Options of `check`. */
export interface CheckOptions {
  readonly file: string;
}

/**
 * Validates a rule file without connecting to the platform.
 *
 * @example
 * const exitCode = await check(context, { file: 'rules.txt' });
 */
export async function check(
  context: Pick<ControlContext, 'output' | 'readFile'>,
  options: CheckOptions,
): Promise<ExitCode> {
  const rules = parseRules(await context.readFile(options.file));
  if (rules.err) {
    return failRules(context, rules.val);
  }
  const count = rules.val.length;
  context.output.report({ json: { rules: count, status: 'valid' }, text: `${count} rules, valid` });
  return exitCodes.done;
}
