// A request crashes each engine that runs it, after its first event: how many retries reach engines?
import { performance } from 'node:perf_hooks';

import {
  Bed,
  hasTrouble,
  makeConfiguration,
  makeId,
  pause,
  runCase,
  takeAddress,
  ZONES,
} from '../standins/bed.mjs';
import { send } from '../standins/client.mjs';
import { Engine } from '../standins/engine.mjs';

const ENGINES = 8;
const EVENT_MILLISECONDS = 30;
/** Time after which a crashed engine is back. */
const DOWN_MILLISECONDS = 2_000;
const SECONDS = 22;
const RETRY_MILLISECONDS = 1_000;
const CONTACT_MILLISECONDS = 3_000;
const MAXIMUM_RETRIES = 3;
const POISON_PATH = '/trace/4b';
const POISON_BODY = 'a complaint that no engine survives';

const bed = new Bed(import.meta.url);
const runs = [];
const crashes = [];

class CrashingEngine extends Engine {
  run(request, channel) {
    if (request.path === POISON_PATH) {
      this.bed.note(`the request ${request.id} reaches ${this.id}`);
    }
    super.run(request, channel);
    runs.at(-1).at = performance.now();
    runs.at(-1).path = request.path;
  }

  afterEvent({ path }, index) {
    if (hasTrouble && path === POISON_PATH && index === 0) {
      this.fail();
    }
  }

  fail() {
    crashes.push(performance.now());
    this.crash(DOWN_MILLISECONDS, `i-${makeId().slice(0, 8)}`);
  }
}

await runCase(bed, async () => {
  await bed.start(makeConfiguration(), 3);
  const engines = [];
  for (let index = 0; index < ENGINES; index++) {
    const engine = new CrashingEngine({
      bed,
      host: await takeAddress(),
      makeWork: () => EVENT_MILLISECONDS,
      runs,
      service: 'minutes-llm',
      slots: 12,
      zone: ZONES[index],
    });
    await engine.start();
    engines.push(engine);
  }
  await pause(2_500);

  const until = performance.now() + SECONDS * 1_000;
  let sent = 0;
  const others = { cut: 0, sent: 0 };
  const consumers = Array.from({ length: 8 }, async (_unused, number) => {
    while (performance.now() < until) {
      const { callers } = bed.instances[others.sent++ % bed.instances.length];
      const path = `/summary/${number}-${others.sent}`;
      const { end, id, status } = await send(callers, path, { body: `minutes ${path}` });
      bed.note(`other stream ${id}: ${end} ${status}`);
      others.cut += end === 'cut' ? 1 : 0;
      await pause(100);
    }
  });
  while (performance.now() < until) {
    const { callers } = bed.instances[sent++ % bed.instances.length];
    const { body, end, id, status } = await send(callers, POISON_PATH, { body: POISON_BODY });
    bed.note(`crashing request ${id}: ${end} ${status}, ${body.length} bytes`);
    await pause(RETRY_MILLISECONDS);
  }
  await Promise.all(consumers);
  engines.forEach(engine => engine.stop());

  const [, , third = Infinity] = crashes;
  const late = runs.filter(
    ({ at, path }) => path === POISON_PATH && at > third + CONTACT_MILLISECONDS,
  );
  bed.note(
    `sent ${sent} times, ${crashes.length} crashes, ${late.length} retries reached engines over ${CONTACT_MILLISECONDS} ms after the third crash; ${others.cut} of ${others.sent} other streams cut`,
  );
  if (others.sent < 100) {
    throw new Error('too few other streams were sent');
  }
  return late.length > MAXIMUM_RETRIES;
});
