import { waitUntil } from './waitUntil.js';

/** The answer to a call, with its stream put together. */
export interface CallAnswer {
  readonly status: number;
  readonly text: string;
  /** The closing event; `undefined` when the stream ended otherwise. */
  readonly closed: Readonly<Record<string, unknown>> | undefined;
  /** The refusal; `undefined` when there was none. */
  readonly error: Readonly<Record<string, unknown>> | undefined;
}

/** An answer in JSON. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** A caller that speaks HTTP to instances. */
export class CallerClient {
  public constructor(private readonly key: string) {}

  /** Opens a program; with a name, repeating it opens no other. */
  public async openProgram(address: string, policy: string, name?: string): Promise<JsonAnswer> {
    const body = { policy, ...(name === undefined ? {} : { program: name }) };
    return await this.send(address, 'POST', '/v1/programs', body);
  }

  /** Opens a program as soon as an instance can, and gives its identifier. */
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
  public async describeProgram(address: string, program: string): Promise<JsonAnswer> {
    return await this.send(address, 'GET', `/v1/programs/${program}`);
  }

  /** Ends a program. */
  public async endProgram(address: string, program: string): Promise<JsonAnswer> {
    return await this.send(address, 'DELETE', `/v1/programs/${program}`);
  }

  /** Makes a call and reads its whole answer. */
  public async call(address: string, program: string, body: unknown): Promise<CallAnswer> {
    const response = await fetch(`http://${address}/v1/programs/${program}/calls`, {
      body: JSON.stringify(body),
      headers: this.headers(),
      method: 'POST',
    });
    const text = await response.text();
    if (!response.ok) {
      const error = JSON.parse(text) as CallAnswer['error'];
      return { closed: undefined, error, status: response.status, text: '' };
    }
    return { status: response.status, ...parseEvents(text) };
  }

  private async send(
    address: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<JsonAnswer> {
    const response = await fetch(`http://${address}${path}`, {
      headers: this.headers(),
      method,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { body: (await response.json()) as JsonAnswer['body'], status: response.status };
  }

  private headers(): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${this.key}`, 'content-type': 'application/json' };
  }
}

function parseEvents(stream: string): Omit<CallAnswer, 'status'> {
  let text = '';
  let closed: CallAnswer['closed'];
  let error: CallAnswer['error'];
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
