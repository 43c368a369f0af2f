// An instance gets SIGTERM while consumers keep channels: does each request that it still takes get its whole answer?
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

import {
  Bed,
  hasTrouble,
  makeConfiguration,
  pause,
  runCase,
  takeAddress,
  ZONES,
} from '../standins/bed.mjs';
import { makeChannels, send } from '../standins/client.mjs';
import { Engine } from '../standins/engine.mjs';
import { Replica } from '../standins/replica.mjs';

const CONSUMERS = 500;
const ENGINES = 34;
/** Streams as on the sheet of rekrutis-enrol-grown: 10 events, a time limit of 4,247 ms, pauses of up to 400 ms. */
const EVENTS = 10;
const EVENT_MILLISECONDS = 398;
const TIME_LIMIT_MILLISECONDS = 4_247;
const GRACE_MILLISECONDS = 8_000;
/** A consumer's longest pause between two requests on its channel: well within four fifths of `idleTimeoutMs`. */
const MAXIMUM_PAUSE_MILLISECONDS = 4_500;
const STOP_AFTER_MILLISECONDS = 6_000;
/** Requests sent later than this after SIGTERM count although the replica is still at work near the end of the grace period. */
const EXCUSED_MILLISECONDS = 3_000;

const bed = new Bed(import.meta.url, {
  configApplyMs: 3_000,
  contactMs: 4_000,
  drainMs: 3_000,
  recoveryS: 15,
});
const runs = [];
let stoppedAt = Infinity;

function makeSlowConfiguration() {
  const configuration = makeConfiguration();
  for (const route of configuration.routes) {
    if (route.kind === 'streaming') {
      Object.assign(route, { targetGapMs: 400, timeoutMs: TIME_LIMIT_MILLISECONDS });
    }
  }
  return configuration;
}

/** The balancer sends new channels to an instance until two of its checks have failed. */
function chooseInstance() {
  const [stopped, other] = bed.instances;
  return performance.now() > stoppedAt + 2_000 ? other : stopped;
}

/** A consumer with one channel, on which it reads a status, pauses, and then has a turn; a new one after `Connection: close`. */
async function consume(number, until, answers) {
  let channel = makeChannels();
  let instance = chooseInstance();
  for (let turn = 0; performance.now() < until; turn++) {
    const status = await send(instance.callers, `/alert/${number}-${turn}`, {
      agent: channel,
      method: 'GET',
      waitMilliseconds: 1_200,
    });
    if (status.end !== 'complete' || status.headers.connection === 'close') {
      channel = makeChannels();
      instance = chooseInstance();
    }
    await pause(Math.random() * MAXIMUM_PAUSE_MILLISECONDS);
    if (Object.keys(channel.freeSockets).length === 0) {
      // The instance has closed the idle channel; the balancer chooses where the next one goes.
      instance = chooseInstance();
    }
    const answer = await send(instance.callers, `/trace/${number}-${turn}`, {
      agent: channel,
      body: `file ${number}, turn ${turn}`,
      waitMilliseconds: TIME_LIMIT_MILLISECONDS,
    });
    answers.push({ ...answer, instance });
    if (answer.end !== 'complete' || answer.headers.connection === 'close') {
      channel = makeChannels();
      instance = chooseInstance();
    }
  }
  channel.destroy();
}

await runCase(bed, async () => {
  await bed.start(makeSlowConfiguration(), 2);
  const replicas = [];
  for (let index = 0; index < ENGINES; index++) {
    const common = { bed, runs, zone: ZONES[index % ZONES.length] };
    const engine = new Engine({
      ...common,
      host: await takeAddress(),
      makeWork: () => EVENT_MILLISECONDS,
      service: 'minutes-llm',
      slots: 16,
    });
    engine.eventCount = EVENTS;
    const plain = new Replica({
      ...common,
      host: await takeAddress(),
      makeWork: () => 19,
      service: 'ticket-app',
    });
    await Promise.all([engine.start(), plain.start()]);
    replicas.push(engine, plain);
  }
  await pause(2_500);

  const [stopped] = bed.instances;
  const until = performance.now() + STOP_AFTER_MILLISECONDS + 6_000;
  setTimeout(() => {
    if (hasTrouble) {
      stoppedAt = performance.now();
      stopped.signal('SIGTERM');
    }
  }, STOP_AFTER_MILLISECONDS);
  const answers = [];
  await Promise.all(
    Array.from({ length: CONSUMERS }, (_unused, number) => consume(number, until, answers)),
  );
  replicas.forEach(replica => replica.stop());

  const run = new Set(runs.map(({ id }) => id));
  const counted = [];
  for (const answer of answers) {
    const { end, id, instance, milliseconds, sentAt, status } = answer;
    const sentAfter = Math.round(sentAt - stoppedAt);
    bed.note(
      `turn ${id} at ${instance.name}: sent ${sentAfter} ms after SIGTERM, ${end} ${status} after ${milliseconds} ms, ${run.has(id) ? 'run' : 'not run'}`,
    );
    const isCut = end === 'cut' && run.has(id) && milliseconds < TIME_LIMIT_MILLISECONDS;
    const isPlanned = instance === stopped && sentAfter + milliseconds < GRACE_MILLISECONDS + 1_000;
    if (isCut && isPlanned && sentAfter > EXCUSED_MILLISECONDS) {
      counted.push(answer);
    }
  }
  const whole = answers.filter(({ end, status }) => end === 'complete' && status === 200).length;
  bed.note(
    `${answers.length} turns, ${whole} answered whole, ${counted.length} sent over ${EXCUSED_MILLISECONDS} ms after SIGTERM, passed on to an engine, and cut`,
  );
  if (whole < answers.length / 2) {
    throw new Error('too few turns were served');
  }
  return counted.length > 0;
});
