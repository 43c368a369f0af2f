// Some engines answer without a length, and processes are killed: do streams that broke off look complete?
import { performance } from 'node:perf_hooks';

import {
  Bed,
  hasTrouble,
  makeConfiguration,
  pause,
  runCase,
  takeAddress,
  ZONES,
} from '../standins/bed.mjs';
import { send } from '../standins/client.mjs';
import { Engine } from '../standins/engine.mjs';

const ENGINES = 12;
const INSTANCES = 3;
const EVENTS = 25;
const EVENT_MILLISECONDS = 100;
const STREAMS_AT_ONCE = 130;
/** Share of the engines, and of their answers, that have no length: the doses of `garble` "unframed". */
const UNFRAMED = { engines: 0.5, share: 0.02 };
/** Rounds in which processes are killed: two of three at once, as in `herd_kill`. */
const KILLS = { downMilliseconds: 1_000, instances: 2, pauseMilliseconds: 4_500, rounds: 12 };

const bed = new Bed(import.meta.url);
const runs = [];
/** Whether the affected engines omit lengths: in spells that end with the kill of each round. */
let isOmitting = false;
let unframed = 0;

class UnframedEngine extends Engine {
  eventCount = EVENTS;

  chooseFraming({ id }) {
    if (!isOmitting || !this.isAffected || Math.random() >= UNFRAMED.share) {
      return 'chunked';
    }
    unframed++;
    this.bed.note(`the answer to ${id} has no length`);
    return 'connection';
  }
}

const countEvents = body => (body.match(/^data: /gm) ?? []).length;

/** A consumer that sends one stream after the other, each to an instance that runs. */
async function consume(number, until, answers) {
  for (let turn = 0; performance.now() < until; turn++) {
    const running = bed.instances.filter(({ isServing }) => isServing);
    const instance = running[(number + turn) % running.length];
    const path = `/trace/${number}-${turn}`;
    const answer = await send(instance.callers, path, { body: `complaint ${number} ${turn}` });
    answers.push(answer);
    if (answer.end === 'cut') {
      await pause(100);
    }
  }
}

async function killInRounds() {
  for (let round = 0; round < KILLS.rounds; round++) {
    isOmitting = true;
    await pause(KILLS.pauseMilliseconds - KILLS.downMilliseconds);
    isOmitting = false;
    if (!hasTrouble) {
      await pause(KILLS.downMilliseconds);
      continue;
    }
    const killed = bed.instances.filter((_unused, index) => index !== round % INSTANCES);
    for (const instance of killed.slice(0, KILLS.instances)) {
      instance.isServing = false;
      instance.signal('SIGKILL');
    }
    await pause(KILLS.downMilliseconds);
    await Promise.all(killed.map(instance => instance.start()));
    killed.forEach(instance => (instance.isServing = true));
  }
}

await runCase(bed, async () => {
  await bed.start(makeConfiguration(), INSTANCES);
  bed.instances.forEach(instance => (instance.isServing = true));
  const engines = [];
  for (let index = 0; index < ENGINES; index++) {
    const engine = new UnframedEngine({
      bed,
      host: await takeAddress(),
      makeWork: () => EVENT_MILLISECONDS,
      runs,
      service: 'minutes-llm',
      slots: 12,
      zone: ZONES[index % ZONES.length],
    });
    engine.isAffected = index < ENGINES * UNFRAMED.engines;
    await engine.start();
    engines.push(engine);
  }
  await pause(2_500);

  const until = performance.now() + KILLS.rounds * KILLS.pauseMilliseconds;
  const answers = [];
  const consumers = Array.from({ length: STREAMS_AT_ONCE }, async (_unused, number) => {
    await pause(Math.random() * EVENTS * EVENT_MILLISECONDS);
    await consume(number, until, answers);
  });
  await Promise.all([...consumers, killInRounds()]);
  engines.forEach(engine => engine.stop());

  const whole = answers.filter(({ end, status }) => end === 'complete' && status === 200);
  const short = whole.filter(({ body }) => countEvents(body) < EVENTS);
  for (const { body, end, id, status } of answers.filter(({ end }) => end !== 'complete')) {
    bed.note(`stream ${id}: ${end} ${status}, ${countEvents(body)} events`);
  }
  for (const { body, id } of short) {
    bed.note(`stream ${id}: looks complete with ${countEvents(body)} of ${EVENTS} events`);
  }
  bed.note(
    `${answers.length} streams, ${unframed} answered without a length, ${whole.length} look complete, ${short.length} of these end before their last event`,
  );
  if (whole.length < answers.length / 4) {
    throw new Error('too few streams were served');
  }
  return short.length > 0;
});
