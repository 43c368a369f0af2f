import type { ShowProgramResponse } from '@zincring/protocol';

import { parseProgramId } from '@zincring/core';

import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failInvalid, failNotFound, failPlatform } from '../context/failures.js';
import { exitCodes } from '../exitCode.js';
import { inBatches } from '../waitInForce.js';

/** What `programs show` takes. */
export interface ProgramsShowOptions {
  readonly program: string;
}

/** Shows the state of a program, as its home tells it. */
export async function programsShow(
  context: ControlContext,
  options: ProgramsShowOptions,
): Promise<ExitCode> {
  const program = parseProgramId(options.program);
  if (program === undefined) {
    return failInvalid(context, 'the program is not an identifier');
  }
  const listed = await context.directory.list();
  if (listed.err) {
    return failPlatform(context, listed.val);
  }
  const instances = listed.val.filter(({ role }) => role.kind === 'entry');
  const answers = await inBatches(instances, async ({ address }) =>
    context.operators.at(address).showProgram(program),
  );
  const found = answers.find(answer => answer.ok && answer.val.found);
  if (found?.ok !== true) {
    const silent = answers.filter(answer => answer.err).length;
    const hint = silent === 0 ? '' : `; ${silent} instances gave no answer`;
    return failNotFound(context, `no instance holds the program ${program}${hint}`);
  }
  context.output.report(describeProgram(program, found.val));
  return exitCodes.done;
}

function describeProgram(
  program: string,
  answer: ShowProgramResponse,
): { readonly json: unknown; readonly text: string } {
  const json = {
    callsLeft: answer.callsLeft,
    digest: answer.digest,
    durableTurn: answer.durableTurn,
    ended: answer.ended,
    holder: answer.holder,
    policy: answer.policy,
    program,
    shard: answer.shard,
    tokensLeft: Number(answer.tokensLeft),
    turn: answer.turn,
    workspace: answer.workspace,
  };
  const lines = Object.entries(json).map(([name, value]) => `${name}: ${String(value)}`);
  return { json, text: lines.join('\n') };
}
