import type { ShowProgramResponse } from '@zincring/protocol';

import { parseProgramId } from '@zincring/core';

import type { ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { failInvalid, failNotFound, failPlatform } from '../context/failures.js';
import { exitCodes } from '../exitCode.js';
import { mapInBatches } from '../waitUntilInForce.js';

/** Options of `programs show`. */
export interface ProgramsShowOptions {
  readonly program: string;
}

/** Shows the state of a program as reported by its home. */
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
  const responses = await mapInBatches(instances, async ({ address }) =>
    context.operators.clientFor(address).showProgram(program),
  );
  const found = responses.find(response => response.ok && response.val.found);
  if (found?.ok !== true) {
    const unreachableCount = responses.filter(response => response.err).length;
    const hint = unreachableCount === 0 ? '' : `; ${unreachableCount} instances gave no answer`;
    return failNotFound(context, `no instance holds the program ${program}${hint}`);
  }
  context.output.report(describeProgram(program, found.val));
  return exitCodes.done;
}

function describeProgram(
  program: string,
  response: ShowProgramResponse,
): { readonly json: unknown; readonly text: string } {
  const json = {
    callsLeft: response.callsLeft,
    digest: response.digest,
    durableTurn: response.durableTurn,
    ended: response.ended,
    holder: response.holder,
    policy: response.policy,
    program,
    shard: response.shard,
    tokensLeft: Number(response.tokensLeft),
    turn: response.turn,
    workspace: response.workspace,
  };
  const lines = Object.entries(json).map(([name, value]) => `${name}: ${String(value)}`);
  return { json, text: lines.join('\n') };
}
