// Stand-in of a replica of a plain service: slots, a queue, refusals when it is full, and one answer at a time on a channel.
import { Buffer } from 'node:buffer';
import { createHash } from 'node:crypto';
import { createServer } from 'node:net';
import { setTimeout } from 'node:timers';

import { makeId, makeRegistration } from './bed.mjs';

const HEAD_END = Buffer.from('\r\n\r\n');

/** Splits the bytes of a channel into requests; bodies have a length or none. */
export class RequestReader {
  pending = Buffer.alloc(0);

  push(chunk) {
    this.pending = Buffer.concat([this.pending, chunk]);
    const requests = [];
    for (let request = this.take(); request !== undefined; request = this.take()) {
      requests.push(request);
    }
    return requests;
  }

  take() {
    const headEnd = this.pending.indexOf(HEAD_END);
    if (headEnd === -1) {
      return undefined;
    }
    const [first, ...lines] = this.pending.subarray(0, headEnd).toString('latin1').split('\r\n');
    const headers = new Map(
      lines.map(line => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
      }),
    );
    const bodyStart = headEnd + HEAD_END.length;
    const bodyEnd = bodyStart + Number(headers.get('content-length') ?? 0);
    if (this.pending.length < bodyEnd) {
      return undefined;
    }
    const body = this.pending.subarray(bodyStart, bodyEnd);
    this.pending = this.pending.subarray(bodyEnd);
    const [method, path] = first.split(' ');
    return { body, headers, id: headers.get('request-id'), method, path };
  }
}

export const makeHead = (status, reason, headers) =>
  [
    `HTTP/1.1 ${status} ${reason}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    '',
    '',
  ].join('\r\n');

/**
 * A replica. `runs` is shared by all replicas of a run and holds what they began to work on.
 * `makeWork` returns the milliseconds of work for a request.
 */
export class Replica {
  id = `i-${makeId().slice(0, 8)}`;
  channels = new Set();
  busy = 0;
  queue = [];

  constructor({ bed, host, makeWork, queueLength = 24, runs, service, slots = 6, zone }) {
    Object.assign(this, { bed, host, makeWork, queueLength, runs, service, slots, zone });
  }

  async start(port = 0) {
    this.server = createServer({ noDelay: true }, channel => {
      this.accept(channel);
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, this.host, resolve);
    });
    this.address = `${this.host}:${this.server.address().port}`;
    this.bed.store.put('servers', this.id, makeRegistration(this));
  }

  stop() {
    this.server.close();
    for (const channel of this.channels) {
      channel.destroy();
    }
  }

  accept(channel) {
    this.channels.add(channel);
    const reader = new RequestReader();
    channel.on('error', () => undefined);
    channel.on('close', () => this.channels.delete(channel));
    channel.on('data', chunk => {
      for (const request of reader.push(chunk)) {
        this.receive(request, channel);
      }
    });
  }

  receive(request, channel) {
    if (request.path === '/health') {
      this.answer(channel, request, 200, 'OK', { 'Instance-Id': this.id }, '');
    } else if (request.headers.get('expected-instance') !== this.id) {
      this.answer(channel, request, 421, 'Misdirected Request', { 'Instance-Id': this.id }, '');
    } else if (this.busy < this.slots) {
      this.run(request, channel);
    } else if (this.queue.length < this.queueLength) {
      this.queue.push({ channel, request });
    } else {
      this.refuse(request, channel);
    }
  }

  /** Refuses a request that has not run. */
  refuse(request, channel) {
    const headers = { 'Not-Executed': 1 };
    this.answer(channel, request, 503, 'Service Unavailable', headers, '');
  }

  /** Works on a request and answers it. */
  run(request, channel) {
    this.busy++;
    this.runs.push({ id: request.id, replica: this.id });
    this.bed.note(`run ${request.id} at ${this.id}`);
    setTimeout(() => {
      this.finish(request, channel);
      this.busy--;
      this.runNext();
    }, this.makeWork(request));
  }

  finish(request, channel) {
    const body = `done ${request.id} by ${this.id}\n`;
    this.answer(channel, request, 200, 'OK', { 'Server-Stamp': makeStamp(body) }, body);
  }

  /** Starts what waits; requests whose channel has closed are dropped. */
  runNext() {
    while (this.busy < this.slots && this.queue.length > 0) {
      const { channel, request } = this.queue.shift();
      if (!channel.destroyed) {
        this.run(request, channel);
      }
    }
  }

  answer(channel, request, status, reason, headers, body) {
    if (channel.destroyed) {
      return;
    }
    const head = makeHead(status, reason, {
      'Request-Id': request.id ?? '',
      ...headers,
      'Content-Length': Buffer.byteLength(body),
    });
    channel.write(head + body);
  }
}

export const makeStamp = body =>
  `3e1b.07.5a2.${createHash('sha256').update(body).digest('hex').slice(0, 16)}`;
