import { Buffer } from 'node:buffer';
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

/**
 * A sound replica: answers 421 to requests for another instance, takes as many requests at a time as it has slots,
 * queues a few more, refuses the rest with `Not-Executed`, and records each request that it runs.
 */
export class Replica {
  runs = [];
  #running = 0;
  #mostRunning = 0;
  #waiting = [];
  #server;

  /** @param makeAnswer gives `events` (list of texts, with the pause between them in `pauseMs`) or `body` for a request */
  constructor({ id, makeAnswer, queue = 24, service, slots, workMs = 5, zone }) {
    Object.assign(this, { id, makeAnswer, queue, service, slots, workMs, zone });
    this.#server = createServer((request, response) => {
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        void this.#serve(request, Buffer.concat(chunks), response);
      });
    });
    this.#server.keepAliveTimeout = 10_000;
  }

  async start() {
    await new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.port = this.#server.address().port;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Entry of the replica in the store. */
  get entry() {
    return {
      address: `127.0.0.1:${this.port}`,
      coldRemainingMs: 0,
      models: [{ adapters: [], name: 'm', version: 1 }],
      sequence: 1,
      service: this.service,
      slots: this.slots,
      stage: 'both',
      state: 'ready',
      version: 'v1',
      zone: this.zone,
    };
  }

  /** The most requests that ran at a time since the last call. */
  takeMostRunning() {
    const most = this.#mostRunning;
    this.#mostRunning = this.#running;
    return most;
  }

  async #serve(request, body, response) {
    if (request.url === '/health') {
      response.writeHead(200, { 'Content-Length': 0, 'Instance-Id': this.id });
      response.end();
      return;
    }
    const id = request.headers['request-id'];
    const head = id === undefined ? {} : { 'Request-Id': id };
    const expected = request.headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...head, 'Content-Length': 0, 'Instance-Id': this.id });
      response.end();
      return;
    }
    if (id === undefined || !(await this.#enter(response))) {
      response.writeHead(id === undefined ? 400 : 503, {
        ...head,
        'Content-Length': 0,
        'Not-Executed': '1',
      });
      response.end();
      return;
    }
    this.runs.push({
      at: performance.now(),
      body,
      id,
      path: request.url,
      replica: this.id,
      tenant: request.headers['tenant'],
    });
    await sleep(this.workMs);
    const answer = this.makeAnswer(request, body);
    const text = answer.body ?? answer.events.join('');
    const digest = createHash('sha256').update(text).digest('hex').slice(0, 8);
    const headers = { ...head, 'Server-Stamp': `${this.id}.${text.length}.${digest}` };
    if (answer.body === undefined) {
      response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
      for (const event of answer.events) {
        if (response.destroyed) {
          break;
        }
        response.write(event);
        await sleep(answer.pauseMs ?? 2);
      }
      response.end();
    } else {
      response.writeHead(200, { ...headers, 'Content-Length': Buffer.byteLength(text) });
      response.end(text);
    }
    this.#leave();
  }

  async #enter(response) {
    if (this.#running >= this.slots) {
      if (this.#waiting.length >= this.queue) {
        return false;
      }
      await new Promise(resolve => {
        this.#waiting.push(resolve);
      });
    } else {
      this.#running += 1;
      this.#mostRunning = Math.max(this.#mostRunning, this.#running);
    }
    if (response.destroyed) {
      this.#leave();
      return false;
    }
    return true;
  }

  #leave() {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#running -= 1;
    } else {
      next();
    }
  }
}
