// Stand-in of consumers: single requests, and what the consumer sees of the answer.
import { Buffer } from 'node:buffer';
import { Agent, request as startRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

import { HOST, KEY, makeId } from './bed.mjs';

/** An agent that keeps channels open, as consumers with many requests do. */
export const makeChannels = () => new Agent({ keepAlive: true, scheduling: 'lifo' });

/**
 * Sends a request; resolves with what the consumer saw. `end` is `complete` for a whole answer, `cut` if
 * the channel ended before or within the answer, `none` if there was no answer by the given time.
 */
export async function send(target, path, options = {}) {
  const {
    agent = false,
    body = '',
    headers = {},
    id = makeId(),
    waitMilliseconds = 3_000,
  } = options;
  const method = options.method ?? 'POST';
  const sentAt = performance.now();
  return await new Promise(resolve => {
    const chunks = [];
    let status = 0;
    let answerHeaders = {};
    const finish = end => {
      clearTimeout(timer);
      resolve({
        body: Buffer.concat(chunks).toString(),
        end,
        headers: answerHeaders,
        id,
        milliseconds: Math.round(performance.now() - sentAt),
        sentAt,
        status,
      });
    };
    const outgoing = startRequest({
      agent,
      headers: {
        Host: HOST,
        'Request-Id': id,
        'Time-Remaining': options.timeRemaining ?? waitMilliseconds,
        Credential: KEY,
        ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
        ...headers,
      },
      method,
      path,
      ...target,
    });
    const timer = setTimeout(
      () => {
        finish('none');
        outgoing.destroy();
      },
      waitMilliseconds + (options.patienceMilliseconds ?? 0),
    );
    outgoing.on('error', () => {
      finish('cut');
    });
    outgoing.on('response', response => {
      status = response.statusCode;
      answerHeaders = response.headers;
      response.on('data', chunk => {
        chunks.push(chunk);
        options.onData?.(chunk);
      });
      response.on('error', () => {
        finish('cut');
      });
      response.on('close', () => {
        finish(response.complete ? 'complete' : 'cut');
      });
    });
    outgoing.end(body);
  });
}
