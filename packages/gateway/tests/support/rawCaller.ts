import { connect } from 'node:net';

/** Request line of a caller on a plain socket. */
export interface RawRequest {
  readonly method?: string;
  readonly version?: '1.0' | '1.1';
  /** Reads no further once this has been received, as if the connection had been closed in order then. */
  readonly until?: string;
}

/** What the head of a response says about the end of its body. */
export type EndMark = 'chunks' | 'length' | 'none';

/** A response as a caller must understand it. */
export interface RawResponse {
  readonly status: number;
  readonly mark: EndMark;
  /** Whether the response looks complete; without a mark, by its events if it has any. */
  readonly isWhole: boolean;
  readonly body: string;
}

/** Sends a request on a plain socket and reads until the connection ends. */
export async function sendRaw(port: number, request: RawRequest = {}): Promise<RawResponse> {
  const { method = 'POST', until, version = '1.1' } = request;
  return await new Promise(resolve => {
    let text = '';
    let wasReset = false;
    const socket = connect(port, '127.0.0.1');
    socket.setEncoding('latin1');
    socket.on('data', (more: string) => {
      text += more;
      if (until !== undefined && text.includes(until)) {
        socket.destroy();
      }
    });
    // A reset that arrives together with data looks like an orderly end; an empty write tells them apart.
    socket.prependOnceListener('end', () => socket.write('', failure => (wasReset ||= !!failure)));
    socket.on('error', () => (wasReset = true));
    socket.on('close', () => {
      resolve(readResponse(text, wasReset, method));
    });
    socket.write(
      `${method} /summaries/7 HTTP/${version}\r\nHost: agents.example\r\nKey: key-of-clerks\r\n` +
        'Request-Id: request-1\r\nConnection: close\r\n\r\n',
    );
  });
}

function readResponse(text: string, wasReset: boolean, method: string): RawResponse {
  const headEnd = text.indexOf('\r\n\r\n');
  const head = text.slice(0, headEnd);
  const content = text.slice(headEnd + 4);
  const status = Number(head.split(' ')[1] ?? 0);
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  const hasBody = method !== 'HEAD' && status !== 204 && status !== 304;
  if (/^transfer-encoding: chunked$/im.test(head)) {
    const { body, isEnded } = readChunks(content);
    return { body, isWhole: isEnded || !hasBody, mark: 'chunks', status };
  }
  const endsInsideEvent = /^id: /m.test(content) && !content.endsWith('\n\n');
  const isWhole =
    length === undefined ? !wasReset && !endsInsideEvent : content.length === Number(length);
  return {
    body: content,
    isWhole: headEnd !== -1 && (isWhole || !hasBody),
    mark: length === undefined ? 'none' : 'length',
    status,
  };
}

function readChunks(content: string): { readonly body: string; readonly isEnded: boolean } {
  let body = '';
  for (let offset = 0; ;) {
    const lineEnd = content.indexOf('\r\n', offset);
    const size = Number.parseInt(content.slice(offset, lineEnd), 16);
    const dataEnd = lineEnd + 2 + size;
    if (lineEnd === -1 || Number.isNaN(size) || content.length < dataEnd + 2) {
      return { body, isEnded: false };
    }
    if (size === 0) {
      return { body, isEnded: true };
    }
    body += content.slice(lineEnd + 2, dataEnd);
    offset = dataEnd + 2;
  }
}
