import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Tables that only the operator and the replicas write. */
const FOREIGN_TABLES = new Set(['op', 'servers']);
const MAXIMUM_ENTRIES = 100;
const MAXIMUM_CALL_BYTES = 1_000_000;
const MAXIMUM_ROWS = 500;

/** The platform's store: linearizable rows, transactions on one part, and a feed of changes. */
export class Store {
  #rows = new Map();
  #history = [];
  #version = 0;
  #waiting = new Set();
  #transactionMs;
  #server;
  calls = { feed: 0, get: 0, tx: 0 };

  constructor({ transactionMs = 5 } = {}) {
    this.#transactionMs = transactionMs;
    this.#server = createServer((request, response) => {
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      this.#serve(request, response);
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  async start() {
    await new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row in place of the operator or a replica; returns its version, which is the ack. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    return this.#apply([{ key, part: '', table, value: text }], []);
  }

  /** Removes a row in place of a replica. */
  drop(table, key) {
    return this.#apply([], [{ key, part: '', table }]);
  }

  #apply(writes, removals) {
    this.#version += 1;
    for (const { key, part, table, value } of writes) {
      const row = { key, objectVersion: this.#version, part, table, value };
      this.#rows.set(nameRow(row), row);
      this.#history.push(row);
    }
    for (const { key, part, table } of removals) {
      if (this.#rows.delete(nameRow({ key, part, table }))) {
        this.#history.push({ key, objectVersion: this.#version, part, removed: true, table });
      }
    }
    this.#waiting.forEach(wake => wake());
    return this.#version;
  }

  #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      switch (url.pathname) {
        case '/-/rows-get':
          this.calls.get += 1;
          this.#answer(response, 200, this.#get(url.searchParams), this.#transactionMs - 1);
          return;
        case '/-/rows-feed':
          this.calls.feed += 1;
          this.#feed(url.searchParams, response);
          return;
        case '/-/rows-tx':
          this.calls.tx += 1;
          this.#transact(body, response);
          return;
        default:
          this.#answer(response, 404, {});
      }
    });
  }

  #answer(response, status, fields, delayMs = 0) {
    const text = JSON.stringify({
      nowMs: Math.round(performance.now()),
      objectVersion: this.#version,
      ...fields,
    });
    const send = () => {
      response.writeHead(status, {
        'Content-Length': Buffer.byteLength(text),
        'Content-Type': 'application/json',
      });
      response.end(text);
    };
    if (delayMs > 0) {
      setTimeout(send, delayMs);
    } else {
      send();
    }
  }

  #get(query) {
    const limit = Math.min(MAXIMUM_ROWS, Number(query.get('limit') ?? MAXIMUM_ROWS));
    const from = Buffer.from(query.get('from') ?? '');
    const to = query.get('to') === null ? undefined : Buffer.from(query.get('to'));
    const found = [...this.#rows.values()]
      .filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? ''))
      .map(row => ({ key: Buffer.from(row.key), row }))
      .filter(({ key }) => key.compare(from) >= 0 && (to === undefined || key.compare(to) < 0))
      .sort((left, right) => left.key.compare(right.key));
    const rows = [];
    let bytes = 0;
    for (const { row } of found) {
      bytes += JSON.stringify(row).length;
      if (rows.length === limit || (rows.length > 0 && bytes > MAXIMUM_CALL_BYTES)) {
        break;
      }
      rows.push(row);
    }
    return { rows, truncated: rows.length < found.length };
  }

  #feed(query, response) {
    const after = Number(query.get('after'));
    const table = query.get('table');
    const find = () =>
      this.#history.filter(row => row.objectVersion > after && row.table === table);
    const rows = find();
    if (rows.length > 0) {
      this.#answer(response, 200, { rows });
      return;
    }
    let isDone = false;
    const finish = found => {
      if (!isDone) {
        isDone = true;
        this.#waiting.delete(wake);
        this.#answer(response, 200, { rows: found });
      }
    };
    const wake = () => {
      const found = find();
      if (found.length > 0) {
        finish(found);
      }
    };
    this.#waiting.add(wake);
    setTimeout(() => finish([]), Math.min(30_000, Number(query.get('waitMs') ?? 0)));
    response.once('close', () => this.#waiting.delete(wake));
  }

  #transact(body, response) {
    const { expectedRevision = [], remove = [], writes = [] } = JSON.parse(body.toString());
    const entries = [...expectedRevision, ...remove, ...writes];
    if (entries.length > MAXIMUM_ENTRIES || body.length > MAXIMUM_CALL_BYTES) {
      this.#answer(response, 400, {});
      return;
    }
    if (new Set(entries.map(({ part }) => part ?? '')).size > 1) {
      this.#answer(response, 400, {});
      return;
    }
    if ([...remove, ...writes].some(({ table }) => FOREIGN_TABLES.has(table))) {
      this.#answer(response, 403, {});
      return;
    }
    const known = expectedRevision.map(row => this.#rows.get(nameRow(row)));
    const holds = expectedRevision.every(
      ({ objectVersion }, index) => (known[index]?.objectVersion ?? 0) === objectVersion,
    );
    if (!holds) {
      const rows = known.filter(row => row !== undefined);
      this.#answer(response, 412, { rows }, this.#transactionMs);
      return;
    }
    const objectVersion = this.#apply(writes, remove);
    this.#answer(response, 200, { objectVersion }, this.#transactionMs);
  }
}

function nameRow({ key, part = '', table }) {
  return JSON.stringify([table, part, key]);
}
