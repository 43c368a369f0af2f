import type { PlatformError } from '@zincring/platform';
import type { RuleError } from '@zincring/rules';

import { formatRuleError } from '@zincring/rules';

import type { ExitCode } from '../exitCode.js';
import type { ControlContext } from './controlContext.js';

import { exitCodes } from '../exitCode.js';

/** Tells that something given is not valid. */
export function failInvalid(context: Pick<ControlContext, 'output'>, message: string): ExitCode {
  context.output.fail({ json: { error: 'invalid', message }, text: message });
  return exitCodes.invalid;
}

/** Tells the errors of a rule file. */
export function failRules(
  context: Pick<ControlContext, 'output'>,
  errors: readonly RuleError[],
): ExitCode {
  const text = errors.map(formatRuleError).join('\n');
  context.output.fail({ json: { error: 'invalid', errors }, text });
  return exitCodes.invalid;
}

/** Tells that something named does not exist. */
export function failNotFound(context: Pick<ControlContext, 'output'>, message: string): ExitCode {
  context.output.fail({ json: { error: 'not-found', message }, text: message });
  return exitCodes.notFound;
}

/** Tells that the platform failed. */
export function failPlatform(
  context: Pick<ControlContext, 'output'>,
  error: PlatformError,
  changeId?: string,
): ExitCode {
  const isUnknown = error.failure === 'outcome-unknown' && changeId !== undefined;
  const advice = isUnknown
    ? `\nThe change may have been accepted. Ask again with --change-id ${changeId}.`
    : '';
  context.output.fail({
    json: { changeId, error: error.failure, message: error.message },
    text: `${error.message}${advice}`,
  });
  return exitCodes.unavailable;
}
