// Late second copies of refusals, on channels that are in use again: are orders run twice?
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
import { Replica } from '../standins/replica.mjs';

const REPLICAS = 5;
const WORK_MILLISECONDS = 74;
/** Orders a second: a little more than the replicas can run, so that some are refused as full. */
const ORDERS_PER_SECOND = 480;
const SECONDS = 16;
/** Spans of the disruption, its share of the replicas and of their answers: the doses of the site's `garble` "extra late". */
const COPIES = { fromSeconds: [2, 9], replicas: 3, seconds: 5, share: 0.03 };

const bed = new Bed(import.meta.url);
const runs = [];
let isCopying = false;
let copies = 0;

/** A replica that sends some answers a second time, late: where the next answer on the channel is expected. */
class CopyingReplica extends Replica {
  receive(request, channel) {
    if (channel.copy !== undefined) {
      const { bytes, id, status } = channel.copy;
      this.bed.note(
        `${this.id}: late copy of the answer ${status} to ${id} where that to ${request.id} is expected`,
      );
      channel.write(bytes);
      channel.copy = undefined;
    }
    super.receive(request, channel);
  }

  answer(channel, request, status, reason, headers, body) {
    super.answer(channel, request, status, reason, headers, body);
    if (isCopying && this.copies && Math.random() < COPIES.share) {
      copies++;
      const lines = Object.entries({
        'Request-Id': request.id,
        ...headers,
        'Content-Length': body.length,
      });
      const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
      channel.copy = {
        bytes: `HTTP/1.1 ${status} ${reason}\r\n${head}\r\n${body}`,
        id: request.id,
        status,
      };
    }
  }
}

await runCase(bed, async () => {
  await bed.start(makeConfiguration(), 3);
  const replicas = [];
  for (let index = 0; index < REPLICAS; index++) {
    const replica = new CopyingReplica({
      bed,
      host: await takeAddress(),
      makeWork: () => WORK_MILLISECONDS,
      runs,
      service: 'ticket-app',
      zone: ZONES[index % ZONES.length],
    });
    replica.copies = index < COPIES.replicas;
    await replica.start();
    replicas.push(replica);
  }
  await pause(2_500);

  const channels = makeChannels();
  const pending = [];
  for (const second of COPIES.fromSeconds) {
    setTimeout(() => (isCopying = hasTrouble), second * 1_000);
    setTimeout(() => (isCopying = false), (second + COPIES.seconds) * 1_000);
  }
  const stepMilliseconds = 25;
  for (let step = 0; step < (SECONDS * 1_000) / stepMilliseconds; step++) {
    for (let each = 0; each < (ORDERS_PER_SECOND * stepMilliseconds) / 1_000; each++) {
      const { callers } = bed.instances[pending.length % bed.instances.length];
      pending.push(
        send(callers, `/order/${pending.length % 4_000}`, { agent: channels, body: 'order' }),
      );
    }
    await pause(stepMilliseconds);
  }
  const answers = await Promise.all(pending);
  await pause(1_000);
  channels.destroy();
  replicas.forEach(replica => replica.stop());

  const counts = new Map();
  for (const { id } of runs) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  for (const { end, id, status } of answers) {
    bed.note(`order ${id}: ${end} ${status}, run ${counts.get(id) ?? 0} times`);
  }
  const twice = [...counts.values()].filter(count => count > 1).length;
  const refused = answers.filter(
    ({ id, status }) => [408, 421, 429, 503].includes(status) && counts.has(id),
  ).length;
  const served = answers.filter(({ status }) => status === 200).length;
  bed.note(
    `${answers.length} orders, ${served} answered 200, ${copies} late copies, ${twice} orders run more than once, ${refused} refused and run`,
  );
  if (served < answers.length / 4) {
    throw new Error('too few orders were served');
  }
  return twice > 0;
});
