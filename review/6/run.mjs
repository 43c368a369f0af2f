import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';

import { Consumer, Fleet, makeId, makeRandom } from '../standins-2/fleet.mjs';
import { Replica } from '../standins-2/replica.mjs';
import {
  BROKEN,
  HELD,
  hasTrouble,
  runScript,
  splitEvents,
  tell,
  toText,
} from '../standins-2/run.mjs';
import { Store } from '../standins-2/store.mjs';

const SEED = Number(process.env.SEED ?? 1);
const HOST = 'chat.example';
const KEY = 'key-of-the-rangers';
/** Retention of a turn and its chain, in seconds. */
const RETENTION_S = 10;
const CONTACT_MS = 3_000;
const TIMEOUT_MS = 3_000;
const TRIES_OF_RULE = 5;
const LINES = 120;
/** Pause from the start of a turn of a line to that of the next, in milliseconds: less than the retention. */
const TURN_INTERVAL_MS = 6_000;
/** Times at which half of the lines arrive through the other zone, and at which the script ends, in seconds. */
const MOVE_AT_S = 66;
const END_AT_S = 80;
/** Time for which they do so, in seconds; no turn begins later. */
const MOVED_S = 6.5;
/** Sends of one turn after the first one, and retries of each. */
const MAXIMUM_RESENDS = 2;
const RETRIES = 1;
const random = makeRandom(SEED);

const config = {
  limits: {
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
    maxBodyBytes: 4194304,
    maxHeaderBytes: 16384,
  },
  routes: [
    {
      contextRetained: true,
      host: HOST,
      kind: 'streaming',
      maxAttempts: 2,
      name: 'guide',
      prefix: '/guide/',
      priority: 0,
      public: false,
      resumable: false,
      retentionS: RETENTION_S,
      service: 'models',
      stickySessions: true,
      targetGapMs: 300,
      targetLatencyMs: 250,
      timeoutMs: TIMEOUT_MS,
    },
  ],
  services: [
    {
      engine: { kvCacheTokens: 400000, models: [{ name: 'm' }], slots: 12, tokensPerEvent: 10 },
      healthCheckPath: '/health',
      maxConnections: 160,
      name: 'models',
      protocol: 'h1',
      tls: false,
    },
  ],
  tenants: [{ apiKeys: [KEY], burst: 0, name: 'rangers', priority: 1, ratePerS: 0 }],
  version: 7,
};

await runScript(fileURLToPath(new URL('record.txt', import.meta.url)), async (record, own) => {
  const store = own(new Store());
  const address = await store.start();
  const replicas = [];
  for (let index = 0; index < 4; index += 1) {
    const replica = own(
      new Replica({
        id: `i-model-${index}`,
        makeAnswer: request => ({
          events: Array.from(
            { length: 6 },
            (_unused, event) =>
              `id: ${event + 1}\ndata: ${request.headers['request-id']}-${event + 1}\n\n`,
          ),
          pauseMs: 5,
        }),
        service: 'models',
        slots: 12,
        workMs: 20,
        zone: index % 2 === 0 ? 'doi-a' : 'doi-b',
      }),
    );
    await replica.start();
    replicas.push(replica);
    store.put('servers', replica.id, replica.entry);
  }
  store.put('op', 'config', config);
  const fleet = own(
    new Fleet({
      log: line => record.add(line),
      store: address,
      zones: ['doi-a', 'doi-a', 'doi-a', 'doi-b', 'doi-b', 'doi-b'],
    }),
  );
  await fleet.start();
  record.add('all processes are ready');
  const startedAt = record.seconds;

  const hasRun = id => replicas.some(({ runs }) => runs.some(run => run.id === id));
  const isInTouch = (node, at) => at - node.startedAt > CONTACT_MS;
  const attempts = [];
  const failedTurns = [];
  let wrongBodies = 0;

  const chooseNode = (line, number) => {
    const nodes = fleet.listInRotation(line.zone);
    return nodes[(line.hash + number) % nodes.length];
  };

  /** Sends one attempt of a turn, on the channel of its line or on a new one. */
  const attempt = async (line, { expected, input, isFirst }) => {
    line.node ??= chooseNode(line, line.channels);
    const id = makeId(random);
    const headers = {
      Credential: KEY,
      'Finish-Deadline': String(Math.round(line.endsAt - performance.now())),
      Host: HOST,
      Model: 'm',
      'Program-Id': line.program,
      'Request-Id': id,
      'Session-Id': line.session,
      'Time-Remaining': String(TIMEOUT_MS),
      'Token-Budget': '100000',
      'Token-Usage': `${input.length},60`,
      ...(line.previous === undefined ? {} : { 'Previous-Turn': line.previous.id }),
    };
    const answer = await line.consumer.send(line.node, {
      body: input,
      headers,
      method: 'POST',
      path: '/guide/4b',
      timeoutMs: TIMEOUT_MS,
    });
    const result = {
      age: line.previous === undefined ? 0 : answer.sentAt - line.previous.endedAt,
      answer,
      id,
      isFirst,
      isInTouch: isInTouch(line.node, answer.sentAt),
      isWhole: answer.status === 200 && answer.isWhole,
    };
    const run = replicas.flatMap(({ runs }) => runs).findLast(each => each.id === id);
    result.hasRun = run !== undefined;
    if (run !== undefined && toText(run.body) !== expected) {
      wrongBodies += 1;
      record.add(`${id} ran with a body that is not its chain`);
    }
    attempts.push(result);
    record.add(
      `${line.name} turn ${line.turns} ${id} previous ${line.previous?.id ?? 'none'} at ${line.node.name}: ${answer.status} ${answer.reason} ${Math.round(answer.ms)} ms, ${result.hasRun ? 'run' : 'not run'}${answer.status === 200 ? '' : ` ${answer.body}`}`,
    );
    return result;
  };

  /** Runs a turn with its retries; returns whether the line goes on. */
  const runTurn = async line => {
    const input = `question ${line.turns} of ${line.name} ${'x'.repeat(160)}\n`;
    const expected = line.history + input;
    const tries = [];
    for (let send = 0; send <= MAXIMUM_RESENDS; send += 1) {
      const until = performance.now() + TIMEOUT_MS;
      for (let retry = 0; retry <= RETRIES; retry += 1) {
        const result = await attempt(line, {
          expected,
          input,
          isFirst: line.previous === undefined,
        });
        tries.push(result);
        const { answer } = result;
        if (result.isWhole) {
          line.history = `${expected}${splitEvents(answer.body)
            .map(({ data }) => `${data}\n`)
            .join('')}`;
          line.previous = { endedAt: performance.now(), id: result.id };
          line.turns += 1;
          if (answer.headers.connection === 'close') {
            line.node = undefined;
          }
          return true;
        }
        line.consumer.leave();
        line.channels += 1;
        line.node = undefined;
        if ([400, 401, 402, 403, 404, 413].includes(answer.status)) {
          break;
        }
        const left = until - performance.now();
        const retryAfter = Number(answer.headers['retry-after'] ?? 0) * 1_000;
        await sleep(Math.min(retryAfter, Math.max(0, left / 3)));
      }
      await sleep(100 + 300 * random());
    }
    failedTurns.push({ line, tries });
    record.add(`${line.name} turn ${line.turns} failed after ${tries.length} tries`);
    return false;
  };

  const makeLine = (index, name) => ({
    channels: 0,
    consumer: new Consumer(fleet),
    endsAt: performance.now() + 110_000,
    hash: Math.floor(random() * 1_000),
    history: '',
    name,
    node: undefined,
    previous: undefined,
    program: makeId(random).slice(0, 8),
    session: makeId(random).slice(0, 8),
    turns: 0,
    zone: index % 2 === 0 ? 'doi-a' : 'doi-b',
  });

  const playLine = async index => {
    const line = makeLine(index, `line-${index}`);
    let next = startedAt + (index / LINES) * (TURN_INTERVAL_MS / 1_000);
    let hasMoved = false;
    while (next < startedAt + MOVE_AT_S + MOVED_S) {
      await record.until(next);
      if (hasTrouble && !hasMoved && index < LINES / 2 && next >= startedAt + MOVE_AT_S) {
        hasMoved = true;
        line.zone = line.zone === 'doi-a' ? 'doi-b' : 'doi-a';
        line.consumer.leave();
        line.node = undefined;
        record.add(`${line.name} arrives through ${line.zone} from now on`);
      }
      if (!(await runTurn(line))) {
        break;
      }
      next += TURN_INTERVAL_MS / 1_000;
    }
    line.consumer.close();
  };

  /** Programs of one turn, which show that first turns reach replicas. */
  const playFirstTurns = async () => {
    for (let index = 0; record.seconds < startedAt + END_AT_S - 4; index += 1) {
      const line = makeLine(index, `first-${index}`);
      await attempt(line, { expected: 'hello\n', input: 'hello\n', isFirst: true });
      line.consumer.close();
      await sleep(300);
    }
  };

  let mostRunning = 0;
  const watchLoad = async () => {
    while (record.seconds < startedAt + END_AT_S) {
      await sleep(250);
      const running = replicas.reduce((sum, replica) => sum + replica.takeMostRunning(), 0);
      if (record.seconds > startedAt + MOVE_AT_S) {
        mostRunning = Math.max(mostRunning, running);
      }
    }
  };

  await Promise.all([
    ...Array.from({ length: LINES }, async (_unused, index) => await playLine(index)),
    playFirstTurns(),
    watchLoad(),
  ]);

  const firstTurns = attempts.filter(({ answer, isFirst }) => isFirst && answer.sentAt > 0);
  const servedFirst = firstTurns.filter(({ id }) => hasRun(id)).length;
  const places = replicas.reduce((sum, { slots }) => sum + slots, 0);
  const lost = failedTurns.filter(({ tries }) => {
    const counted = tries.filter(
      ({ age, id, isInTouch: isCounted }) => isCounted && age < RETENTION_S * 1_000 && !hasRun(id),
    );
    return tries.every(({ id }) => !hasRun(id)) && counted.length >= TRIES_OF_RULE;
  });
  const notFound = attempts.filter(
    ({ age, answer, isFirst }) =>
      !isFirst && age < RETENTION_S * 1_000 && [404, 410].includes(answer.status),
  );
  tell(record, `turns answered whole: ${attempts.filter(({ isWhole }) => isWhole).length}`);
  tell(record, `first turns that reached a replica: ${servedFirst} of ${firstTurns.length}`);
  tell(
    record,
    `most requests at replicas at a time after the move: ${mostRunning} of ${places} places`,
  );
  tell(record, `turns that ran with another body than their chain: ${wrongBodies}`);
  tell(record, `turns of kept chains answered 404 or 410: ${notFound.length}`);
  tell(
    record,
    `turns of kept chains that reached no replica in ${TRIES_OF_RULE} tries or more at machines in touch: ${lost.length}`,
  );
  const isCalm = servedFirst >= 0.9 * firstTurns.length && mostRunning < places / 2;
  const isBroken = notFound.length > 0 || (isCalm && lost.length > 0);
  tell(record, isBroken ? 'LOST is broken' : 'LOST held');
  return isBroken ? BROKEN : HELD;
});
