import type { CallId, ProgramId, Result, ServiceName, ZincringError } from '@zincring/core';
import type { ServerResponse } from 'node:http';

import { randomBytes } from 'node:crypto';

import { parseProgramId, ZincringError as ZincringErrorClass } from '@zincring/core';

import type { CallRequest, ProgramService, ProgramSummary } from '../programs/programMessages.js';
import type { Caller } from './authentication.js';

import { sendError, sendFrames, sendJson } from './answers.js';
import { callSchema, checkBody, openProgramSchema } from './callerMessages.js';
import { parseJson } from './readBody.js';

/** One request about programs, authenticated and read. */
export interface ProgramRouteRequest {
  readonly method: string;
  /** Path segments after `/v1/programs`. */
  readonly segments: readonly string[];
  readonly caller: Caller;
  readonly body: Buffer;
}

const PROGRAM_ID_BYTES = 16;
const DEFAULT_CALL_TIMEOUT_MILLISECONDS = 60_000;

/** Serves `/v1/programs` and what is below it. */
export class ProgramRoutes {
  public constructor(private readonly programs: ProgramService) {}

  /** Answers one request. */
  public async handle(request: ProgramRouteRequest, response: ServerResponse): Promise<void> {
    const [program, calls, ...rest] = request.segments;
    if (program === undefined) {
      await this.open(request, response);
      return;
    }
    if (rest.length > 0 || (calls !== undefined && calls !== 'calls')) {
      throw new ZincringErrorClass('not-found');
    }
    const id = parseProgramId(program);
    if (id === undefined) {
      throw new ZincringErrorClass('program-not-found');
    }
    if (calls === 'calls') {
      await this.call(request, id, response);
      return;
    }
    await this.describeOrEnd(request, id, response);
  }

  private async open(request: ProgramRouteRequest, response: ServerResponse): Promise<void> {
    requireMethod(request, ['POST']);
    const body = checkBody(openProgramSchema, parseJson(request.body));
    const opened = await this.programs.open({
      deadlineMilliseconds:
        body.deadlineSeconds === undefined ? undefined : body.deadlineSeconds * 1_000,
      policy: body.policy,
      program: randomBytes(PROGRAM_ID_BYTES).toString('hex') as ProgramId,
      workspace: request.caller.workspace.name,
    });
    sendSummary(response, 201, opened);
  }

  private async describeOrEnd(
    request: ProgramRouteRequest,
    program: ProgramId,
    response: ServerResponse,
  ): Promise<void> {
    requireMethod(request, ['GET', 'DELETE']);
    const reference = { program, workspace: request.caller.workspace.name };
    const result =
      request.method === 'GET'
        ? await this.programs.describe(reference)
        : await this.programs.end(reference);
    sendSummary(response, 200, result);
  }

  private async call(
    request: ProgramRouteRequest,
    program: ProgramId,
    response: ServerResponse,
  ): Promise<void> {
    requireMethod(request, ['POST']);
    const body = checkBody(callSchema, parseJson(request.body));
    const call: CallRequest = {
      body: Buffer.from(typeof body.input === 'string' ? body.input : JSON.stringify(body.input)),
      call: body.call as CallId,
      fromOffset: 0,
      isAttachOnly: false,
      keyHash: request.caller.keyHash,
      maxTokens: body.maxTokens,
      method: body.method,
      parentCall: body.parentCall as CallId | undefined,
      path: body.path,
      program,
      service: body.service as ServiceName,
      timeoutMilliseconds:
        body.timeoutSeconds === undefined
          ? DEFAULT_CALL_TIMEOUT_MILLISECONDS
          : body.timeoutSeconds * 1_000,
      turn: body.turn,
      workspace: request.caller.workspace.name,
    };
    await sendFrames(response, this.programs.call(call));
  }
}

function requireMethod(request: ProgramRouteRequest, allowed: readonly string[]): void {
  if (!allowed.includes(request.method)) {
    throw new ZincringErrorClass('method-not-allowed');
  }
}

function sendSummary(
  response: ServerResponse,
  status: number,
  result: Result<ProgramSummary, ZincringError>,
): void {
  if (result.err) {
    sendError(response, result.val);
    return;
  }
  sendJson(response, status, result.val);
}
