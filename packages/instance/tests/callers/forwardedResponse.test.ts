import type { AddressInfo } from 'node:net';

import { ZincringError } from '@zincring/core';
import { EventEmitter, once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { describe, expect, it } from 'vitest';

import { ForwardedResponse } from '../../src/callers/forwardedResponse.js';

interface Received {
  readonly text: string;
  readonly wasReset: boolean;
}

type Forward = (response: ForwardedResponse, hasReceivedData: Promise<unknown>) => Promise<void>;

/** Lets a server forward a response and returns what its caller receives. */
async function receive(forward: Forward, method = 'GET'): Promise<Received> {
  const received = new EventEmitter();
  const server = createServer((_request, response) => {
    void forward(new ForwardedResponse(response, 1_000), once(received, 'data'));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return await new Promise(resolve => {
    const chunks: Buffer[] = [];
    let wasReset = false;
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(`${method} / HTTP/1.1\r\nHost: x\r\n\r\n`);
    });
    socket.on('data', chunk => {
      chunks.push(chunk);
      received.emit('data');
      if (chunk.toString().endsWith('0\r\n\r\n')) {
        socket.end();
      }
    });
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('close', () => {
      server.close();
      resolve({ text: Buffer.concat(chunks).toString(), wasReset });
    });
  });
}

function makeHead(endsWithConnection: boolean): Parameters<ForwardedResponse['setHead']>[0] {
  return { contentType: 'text/plain', endsWithConnection, kind: 'head', status: 200 };
}

describe(ForwardedResponse, () => {
  it.each([
    ['marks', false],
    ['does not mark', true],
  ])('%s the end of a body as its upstream did', async (_name, endsWithConnection) => {
    const { text, wasReset } = await receive(async response => {
      response.setHead(makeHead(endsWithConnection));
      await response.write(Buffer.from('whole'));
      response.end();
    });
    expect(text).toContain('whole');
    expect(wasReset).toBe(false);
    expect(/transfer-encoding: chunked/i.test(text)).toBe(!endsWithConnection);
    expect(/connection: close/i.test(text)).toBe(endsWithConnection);
  });

  it.each([
    ['closes', false],
    ['resets', true],
  ])('%s the connection of a broken body', async (_name, endsWithConnection) => {
    const { text, wasReset } = await receive(async (response, hasReceivedData) => {
      response.setHead(makeHead(endsWithConnection));
      await response.write(Buffer.from('half'));
      // The caller is a Node.js client, to which a reset together with data looks like an orderly end.
      await hasReceivedData;
      response.abort(new ZincringError('upstream-failed'));
    });
    expect(text).toContain('half');
    expect(text.endsWith('0\r\n\r\n')).toBe(false);
    expect(wasReset).toBe(endsWithConnection);
  });

  it.each([
    ['whole', 'id: 1\ndata: x\n\n', true],
    ['whole, with carriage returns', 'data: x\r\n\r\n', true],
    ['broken off inside an event', 'data: x\n\ndata: y\n', false],
  ])('marks the end of a stream of events that is %s', async (_name, stream, isWhole) => {
    const { text } = await receive(async response => {
      response.setHead({ ...makeHead(true), contentType: 'text/event-stream; charset=utf-8' });
      for (const character of stream) {
        await response.write(Buffer.from(character));
      }
      response.end();
    });
    expect(text).toMatch(/transfer-encoding: chunked/i);
    expect(text.endsWith('0\r\n\r\n')).toBe(isWhole);
  });

  it.each([
    ['HEAD', 200],
    ['GET', 204],
  ])('ends a stream of events without a body as whole (%s, %i)', async (method, status) => {
    const { text, wasReset } = await receive(async response => {
      response.setHead({ ...makeHead(true), contentType: 'text/event-stream', status });
      response.end();
      await Promise.resolve();
    }, method);
    expect(text).toMatch(new RegExp(`^HTTP/1.1 ${String(status)} [^]*\r\n\r\n$`));
    expect(wasReset).toBe(false);
  });

  it('fails a stream of events without a mark and without events', async () => {
    const { text } = await receive(async response => {
      response.setHead({ ...makeHead(true), contentType: 'text/event-stream' });
      expect(() => {
        response.end();
      }).toThrow(ZincringError);
      response.setHead(makeHead(false));
      await response.write(Buffer.from('failed'));
      response.end();
    });
    expect(text).toContain('failed');
  });

  it('replaces the head of an attempt that failed before its first byte', async () => {
    const { text } = await receive(async response => {
      response.setHead(makeHead(true));
      response.setHead(makeHead(false));
      await response.write(Buffer.from('whole'));
      response.end();
    });
    expect(text).toMatch(/transfer-encoding: chunked/i);
  });
});
