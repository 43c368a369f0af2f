import type {
  CallId,
  ProgramId,
  Result,
  ServiceName,
  WorkspaceName,
  ZincringError,
} from '@zincring/core';
import type { ServerResponse } from 'node:http';

import { randomBytes } from 'node:crypto';

import { parseProgramId, sha256Hex, ZincringError as ZincringErrorClass } from '@zincring/core';

import type { CallRequest, ProgramService, ProgramSummary } from '../programs/programMessages.js';
import type { Caller } from './authentication.js';

import { sendError, sendFrames, sendJson } from './responses.js';
import { callSchema, validateBody, openProgramSchema } from './callerMessages.js';
import { parseJson } from './readBody.js';
import { refuseMethod } from './refuseMethod.js';

/** Authenticated request to a program route, with its complete body. */
export interface ProgramRouteRequest {
  readonly method: string;
  /** Path segments after `/v1/programs`. */
  readonly segments: readonly string[];
  readonly caller: Caller;
  readonly body: Buffer;
  /** Aborts when the caller's key is withdrawn. */
  readonly keyWithdrawn: AbortSignal;
}

/** Options of {@link ProgramRoutes}. */
export interface ProgramRoutesOptions {
  readonly programs: ProgramService;
  /** Maximum nesting depth of JSON bodies. */
  readonly bodyDepthLimit: number;
  /** Maximum time that a caller may go without reading, in milliseconds. */
  readonly readerTimeoutMilliseconds: number;
}

const PROGRAM_ID_BYTES = 16;
const DEFAULT_CALL_TIMEOUT_MILLISECONDS = 60_000;

/** Handles requests to `/v1/programs` and the paths below it. */
export class ProgramRoutes {
  public constructor(private readonly options: ProgramRoutesOptions) {}

  /**
   * Checks route and method before the body is read; throws a `ZincringError` if either is invalid.
   */
  public checkRoute(
    { method, segments }: Pick<ProgramRouteRequest, 'method' | 'segments'>,
    response: ServerResponse,
  ): void {
    const [program, calls, ...extraSegments] = segments;
    if (extraSegments.length > 0 || (calls !== undefined && calls !== 'calls')) {
      throw new ZincringErrorClass('not-found');
    }
    const isProgram = program !== undefined && calls === undefined;
    refuseMethod(method, isProgram ? ['DELETE', 'GET'] : ['POST'], response);
  }

  /** Handles one request. */
  public async handle(request: ProgramRouteRequest, response: ServerResponse): Promise<void> {
    const [program, calls] = request.segments;
    if (program === undefined) {
      await this.open(request, response);
      return;
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
    const body = validateBody(
      openProgramSchema,
      parseJson(request.body, this.options.bodyDepthLimit),
    );
    const opened = await this.options.programs.open({
      deadlineMilliseconds:
        body.deadlineSeconds === undefined ? undefined : body.deadlineSeconds * 1_000,
      policy: body.policy,
      program: createProgramId(request.caller.workspace.name, body.program),
      workspace: request.caller.workspace.name,
    });
    sendSummary(response, 201, opened);
  }

  private async describeOrEnd(
    request: ProgramRouteRequest,
    program: ProgramId,
    response: ServerResponse,
  ): Promise<void> {
    const reference = { program, workspace: request.caller.workspace.name };
    const result =
      request.method === 'GET'
        ? await this.options.programs.describe(reference)
        : await this.options.programs.end(reference);
    sendSummary(response, 200, result);
  }

  private async call(
    request: ProgramRouteRequest,
    program: ProgramId,
    response: ServerResponse,
  ): Promise<void> {
    const body = validateBody(callSchema, parseJson(request.body, this.options.bodyDepthLimit));
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
    await sendFrames({
      frames: this.options.programs.call(call),
      keyWithdrawn: request.keyWithdrawn,
      readerTimeoutMilliseconds: this.options.readerTimeoutMilliseconds,
      response,
    });
  }
}

/**
 * Creates a random identifier, or derives one from a name. Names of different workspaces never
 * yield the same identifier, and an identifier does not reveal its name.
 */
function createProgramId(workspace: WorkspaceName, name: string | undefined): ProgramId {
  const id =
    name === undefined
      ? randomBytes(PROGRAM_ID_BYTES).toString('hex')
      : sha256Hex(`program name\n${workspace}\n${name}`).slice(0, 2 * PROGRAM_ID_BYTES);
  return id as ProgramId;
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
