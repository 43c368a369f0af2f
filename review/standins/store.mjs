// Stand-in of the platform's store: rows in partitions of tables, as PROTOCOL.md describes them.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const MAXIMUM_ENTRIES = 100;
const MAXIMUM_CALL_BYTES = 1_000_000;
const MAXIMUM_ROWS = 500;
const ANSWER_MILLISECONDS = 4;
/** Tables that only the operator and the replicas write. */
const FOREIGN_TABLES = new Set(['op', 'servers']);

const toKey = ({ key, part = '', table }) => `${table}\n${part}\n${key}`;

export class Store {
  rows = new Map();
  history = [];
  version = 0;
  waiting = new Set();

  async start(host) {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row of the operator or of a replica; returns once it is in force in the store. */
  put(table, key, value) {
    const content = Buffer.from(JSON.stringify(value)).toString('base64');
    this.commit({ remove: [], writes: [{ key, part: '', table, value: content }] });
  }

  remove(table, key) {
    this.commit({ remove: [{ key, part: '', table }], writes: [] });
  }

  commit({ remove, writes }) {
    this.version++;
    for (const { key, part = '', table, value } of writes) {
      const row = { key, objectVersion: this.version, part, table, value };
      this.rows.set(toKey(row), row);
      this.history.push(row);
    }
    for (const { key, part = '', table } of remove) {
      this.rows.delete(toKey({ key, part, table }));
      this.history.push({ key, objectVersion: this.version, part, removed: true, table });
    }
    for (const wake of [...this.waiting]) {
      wake();
    }
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, 'http://store');
    await new Promise(resolve => setTimeout(resolve, ANSWER_MILLISECONDS));
    const { content, status } = await this.answer(url, body);
    const text = JSON.stringify({
      nowMs: Math.round(performance.now()),
      objectVersion: this.version,
      ...content,
    });
    response.writeHead(status, {
      'Content-Length': Buffer.byteLength(text),
      'Content-Type': 'application/json',
    });
    response.end(text);
  }

  async answer(url, body) {
    switch (url.pathname) {
      case '/-/rows-get':
        return this.get(url.searchParams);
      case '/-/rows-feed':
        return await this.feed(url.searchParams);
      case '/-/rows-tx':
        return this.transact(body);
      case '/-/rows-parts':
        return this.listParts(url.searchParams);
      default:
        return { content: {}, status: 404 };
    }
  }

  get(query) {
    const limit = Math.min(MAXIMUM_ROWS, Number(query.get('limit') ?? MAXIMUM_ROWS));
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const found = [...this.rows.values()]
      .filter(row => row.table === table && row.part === part)
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return {
      content: { rows: found.slice(0, limit), truncated: found.length > limit },
      status: 200,
    };
  }

  async feed(query) {
    const after = Number(query.get('after'));
    const table = query.get('table');
    const until = performance.now() + Math.min(30_000, Number(query.get('waitMs')));
    for (;;) {
      const rows = this.history.filter(row => row.objectVersion > after && row.table === table);
      const left = until - performance.now();
      if (rows.length > 0 || left <= 0) {
        return { content: { rows }, status: 200 };
      }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.waiting.add(wake);
      });
    }
  }

  transact(body) {
    const { expectedRevision = [], remove = [], writes = [] } = JSON.parse(body.toString());
    const entries = [...expectedRevision, ...remove, ...writes];
    const changed = [...remove, ...writes];
    if (body.length > MAXIMUM_CALL_BYTES || entries.length > MAXIMUM_ENTRIES) {
      return { content: {}, status: 400 };
    }
    if (changed.some(({ table }) => FOREIGN_TABLES.has(table))) {
      return { content: {}, status: 403 };
    }
    if (new Set(entries.map(({ part = '' }) => part)).size > 1) {
      return { content: {}, status: 400 };
    }
    const known = expectedRevision.map(each => this.rows.get(toKey(each)));
    const holds = expectedRevision.every(
      ({ objectVersion }, index) => (known[index]?.objectVersion ?? 0) === objectVersion,
    );
    if (!holds) {
      return { content: { rows: known.filter(row => row !== undefined) }, status: 412 };
    }
    this.commit({ remove, writes });
    return { content: {}, status: 200 };
  }

  listParts(query) {
    const rows = [...this.rows.values()].filter(({ table }) => table === query.get('table'));
    const parts = [...new Set(rows.map(({ part }) => part))].sort();
    return { content: { parts, truncated: false }, status: 200 };
  }
}
