import { waitUntil } from './waitUntil.js';

/** Response to a call, with the text of its event stream concatenated. */
export interface CallResponse {
  readonly status: number;
  readonly text: string;
  /** Data of the `closed` event; `undefined` if the stream ended without one. */
  readonly closed: Readonly<Record<string, unknown>> | undefined;
  /** Error of the response or of its stream; `undefined` if there was none. */
  readonly error: Readonly<Record<string, unknown>> | undefined;
}

/** Response with a JSON body. */
export interface JsonResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** HTTP client of the callers' API of the instances. */
export class CallerClient {
  public constructor(private readonly key: string) {}

  /** Opens a program; a repeated request with the same name does not open a second one. */
  public async openProgram(address: string, policy: string, name?: string): Promise<JsonResponse> {
    const body = { policy, ...(name === undefined ? {} : { program: name }) };
    return await this.send(address, 'POST', '/v1/programs', body);
  }

  /** Opens a program, retrying until the instance accepts it; returns its identifier. */
  public async openWhenReady(address: string, policy: string, name?: string): Promise<string> {
    let program = '';
    await waitUntil(async () => {
      const opened = await this.openProgram(address, policy, name);
      program = String(opened.body['program']);
      return opened.status === 201;
    });
    return program;
  }

  /** Reads the state of a program. */
  public async describeProgram(address: string, program: string): Promise<JsonResponse> {
    return await this.send(address, 'GET', `/v1/programs/${program}`);
  }

  /** Ends a program. */
  public async endProgram(address: string, program: string): Promise<JsonResponse> {
    return await this.send(address, 'DELETE', `/v1/programs/${program}`);
  }

  /** Makes a call and reads the complete response. */
  public async call(address: string, program: string, body: unknown): Promise<CallResponse> {
    const response = await fetch(`http://${address}/v1/programs/${program}/calls`, {
      body: JSON.stringify(body),
      headers: this.headers(),
      method: 'POST',
    });
    const text = await response.text();
    if (!response.ok) {
      const error = JSON.parse(text) as CallResponse['error'];
      return { closed: undefined, error, status: response.status, text: '' };
    }
    return { status: response.status, ...parseEvents(text) };
  }

  private async send(
    address: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<JsonResponse> {
    const response = await fetch(`http://${address}${path}`, {
      headers: this.headers(),
      method,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { body: (await response.json()) as JsonResponse['body'], status: response.status };
  }

  private headers(): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${this.key}`, 'content-type': 'application/json' };
  }
}

function parseEvents(stream: string): Omit<CallResponse, 'status'> {
  let text = '';
  let closed: CallResponse['closed'];
  let error: CallResponse['error'];
  for (const block of stream.split('\n\n')) {
    const match = /^event: (\w+)\ndata: (.*)$/s.exec(block);
    if (match === null) {
      continue;
    }
    const data = JSON.parse(match[2] ?? '{}') as Record<string, unknown>;
    if (match[1] === 'data') {
      text += String(data['text']);
    } else if (match[1] === 'closed') {
      closed = data;
    } else {
      error = data;
    }
  }
  return { closed, error, text };
}
