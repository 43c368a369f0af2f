import { describe, expect, it } from 'vitest';

import { EventSplitter } from '../../src/callers/eventSplitter.js';

const STREAM = 'id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: lines\r\n\r\ndata:three\n\n';

describe(EventSplitter, () => {
  it.each([1, 2, 3, 7, 1_000])('splits a stream that arrives in chunks of %i bytes', size => {
    const splitter = new EventSplitter();
    const bytes = Buffer.from(STREAM);
    const groups = [];
    for (let start = 0; start < bytes.length; start += size) {
      groups.push(splitter.push(bytes.subarray(start, start + size)));
    }
    const events = groups.flatMap(group => group.events);
    expect(events.map(event => event.id)).toEqual(['1', '2', undefined]);
    expect(events.map(event => event.data.toString())).toEqual(['one', 'two\nlines', 'three']);
    expect(Buffer.concat(groups.map(group => group.bytes)).toString()).toBe(STREAM);
    expect(groups.some(group => group.hasOtherText)).toBe(false);
    expect(splitter.pendingBytes).toBe(0);
  });

  it.each(['id: 1\ndata: on', 'id: 1\ndata: one\n', 'data'])(
    'returns no incomplete event: %j',
    text => {
      const splitter = new EventSplitter();
      const group = splitter.push(Buffer.from(text));
      expect(group).toMatchObject({ events: [], hasOtherText: false });
      expect(group.bytes).toHaveLength(0);
      expect(splitter.pendingBytes).toBe(text.length);
    },
  );

  it.each([
    ['data: one\n\n', 1, false],
    ['data\n\n', 1, false],
    ['weights: 2\nid: 1\ndata: one\n\n', 1, false],
    [': comment\ndata: one\n\n', 1, false],
    [': comment\n\n', 0, false],
    ['\n', 0, false],
    ['\r\n', 0, false],
    ['HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\n', 0, true],
    ['<p>failed</p>\n\n', 0, true],
  ])(
    'tells events from blank lines, comments and other text: %j',
    (text, eventCount, hasOtherText) => {
      for (const size of [1, text.length]) {
        const splitter = new EventSplitter();
        const groups = [];
        for (let start = 0; start < text.length; start += size) {
          groups.push(splitter.push(Buffer.from(text.slice(start, start + size))));
        }
        expect(groups.flatMap(({ events }) => events)).toHaveLength(eventCount);
        expect(groups.some(group => group.hasOtherText)).toBe(hasOtherText);
        const bytes = Buffer.concat(groups.map(group => group.bytes)).toString();
        expect(bytes).toBe(hasOtherText ? '' : text);
      }
    },
  );

  it('returns what arrived together in one piece, up to other text', () => {
    const events = 'data: one\n\n\n\n: comment\n\ndata: two\n\n';
    const group = new EventSplitter().push(Buffer.from(`${events}<p>\n\ndata: three\n\n`));
    expect(group.bytes.toString()).toBe(events);
    expect(group.events.map(({ data }) => data.toString())).toEqual(['one', 'two']);
    expect(group.hasOtherText).toBe(true);
  });
});
