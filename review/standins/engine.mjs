// Stand-in of an engine: a replica whose answers are streams of events.
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';

import { makeHead, makeStamp, Replica } from './replica.mjs';

export class Engine extends Replica {
  /** Returns the data of the events of a request; the same request always gets the same ones. */
  makeEvents({ id }) {
    return Array.from(
      { length: this.eventCount ?? 11 },
      (_unused, index) => `event ${index} of ${id}`,
    );
  }

  run(request, channel) {
    this.busy++;
    this.runs.push({ id: request.id, replica: this.id });
    this.bed.note(`run ${request.id} at ${this.id}`);
    void this.stream(request, channel).then(() => {
      this.busy--;
      this.runNext();
    });
  }

  /** Writes the events one after the other, from the one after `Last-Event-Id`. */
  async stream(request, channel) {
    const events = this.makeEvents(request);
    const framing = this.chooseFraming(request);
    channel.write(
      makeHead(200, 'OK', {
        'Content-Type': 'text/event-stream',
        'Request-Id': request.id,
        'Server-Stamp': makeStamp(events.join('\n')),
        'Weight-Versions': 1,
        ...(framing === 'chunked' ? { 'Transfer-Encoding': 'chunked' } : { Connection: 'close' }),
      }),
    );
    const first = Number(request.headers.get('last-event-id') ?? 0);
    for (let index = first; index < events.length && !channel.destroyed; index++) {
      await new Promise(resolve => setTimeout(resolve, this.makeWork(request)));
      const event = `id: ${index + 1}\ndata: ${events[index]}\n\n`;
      const size = Buffer.byteLength(event).toString(16);
      channel.write(framing === 'chunked' ? `${size}\r\n${event}\r\n` : event);
      this.afterEvent(request, index, channel);
    }
    if (channel.destroyed) {
      return;
    }
    if (framing === 'chunked') {
      channel.write('0\r\n\r\n');
    } else {
      channel.end();
    }
  }

  /** `chunked`, or `connection` for an answer without a length that ends with its channel. */
  chooseFraming() {
    return 'chunked';
  }

  afterEvent() {
    // Only replicas of a case that crash do something here.
  }

  /** Crashes: all channels are reset, and nothing listens until it starts again with a new id. */
  crash(downMilliseconds, newId) {
    if (!this.server.listening) {
      return;
    }
    this.bed.note(`${this.id} crashes`);
    const port = this.server.address().port;
    this.server.close();
    for (const channel of this.channels) {
      channel.resetAndDestroy();
    }
    this.queue = [];
    setTimeout(() => {
      this.bed.store.remove('servers', this.id);
      this.id = newId;
      void this.start(port);
    }, downMilliseconds);
  }
}
