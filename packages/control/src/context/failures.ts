import type { PlatformError } from '@zincring/platform';
import type { RuleError } from '@zincring/rules';

import { formatRuleError } from '@zincring/rules';

import type { ExitCode } from '../exitCode.js';
import type { ControlContext } from './controlContext.js';

import { exitCodes } from '../exitCode.js';

/** Reports invalid input. */
export function failInvalid(context: Pick<ControlContext, 'output'>, message: string): ExitCode {
  context.output.fail({ json: { error: 'invalid', message }, text: message });
  return exitCodes.invalid;
}

/** Reports the errors of a rule file. */
export function failRules(
  context: Pick<ControlContext, 'output'>,
  errors: readonly RuleError[],
): ExitCode {
  const text = errors.map(formatRuleError).join('\n');
  context.output.fail({ json: { error: 'invalid', errors }, text });
  return exitCodes.invalid;
}

/** Reports that something named in the command does not exist. */
export function failNotFound(context: Pick<ControlContext, 'output'>, message: string): ExitCode {
  context.output.fail({ json: { error: 'not-found', message }, text: message });
  return exitCodes.notFound;
}

/** Reports a failure of the platform. */
export function failPlatform(
  context: Pick<ControlContext, 'output'>,
  error: PlatformError,
  changeId?: string,
): ExitCode {
  const isUnknown = error.failure === 'outcome-unknown' && changeId !== undefined;
  const hint = isUnknown
    ? `\nThe change may have been accepted. Repeat the command with --change-id ${changeId}.`
    : '';
  context.output.fail({
    json: { changeId, error: error.failure, message: error.message },
    text: `${error.message}${hint}`,
  });
  return exitCodes.unavailable;
}
