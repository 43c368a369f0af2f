import type { Change } from '@zincring/coordination';

import { create, toBinary } from '@bufbuild/protobuf';
import { ReadConfigurationResponseSchema } from '@zincring/protocol';
import { bench, describe } from 'vitest';

import { RulesInForce } from '../../src/configuration/rulesInForce.js';
import { updateToMessage } from '../../src/operators/operatorConversions.js';

/** Number of keys in each workspace. */
const KEYS_PER_WORKSPACE = 10;

function keyLine(index: number): string {
  const hash = index.toString(16).padStart(64, '0');
  const workspace = `w${Math.floor(index / KEYS_PER_WORKSPACE)}`;
  return `key clerk-${index} workspace=${workspace} hash=${hash} # dana: front desk clerks`;
}

function linesOf(count: number): readonly string[] {
  const keys = Array.from({ length: count }, (_, index) => index);
  const workspaces = keys.filter(index => index % KEYS_PER_WORKSPACE === 0);
  return [
    ...workspaces.map(index => `workspace w${index / KEYS_PER_WORKSPACE} rate=5 burst=9 # a: b`),
    ...keys.map(keyLine),
  ];
}

function changeOf(version: number, lines: Pick<Change, 'added' | 'removed'>): Change {
  const changeId = '89cd13ed-5407-4e9c-95d3-82713bc63001';
  const origin = { at: 1_796_332_963_670, changeId, reason: 'left the office', requester: 'dana' };
  return { ...origin, ...lines, version };
}

const withdrawal = changeOf(2, { added: [], removed: [keyLine(1)] });
const message = updateToMessage({ changes: [withdrawal], newest: 2, snapshot: undefined });
const messageBytes = toBinary(
  ReadConfigurationResponseSchema,
  create(ReadConfigurationResponseSchema, message),
);
process.stdout.write(
  `one key withdrawn: ${JSON.stringify({ change: withdrawal, kind: 'whole' }).length} bytes as a row, ` +
    `${messageBytes.length} bytes from a peer\n`,
);

describe('applying one change of one key', () => {
  for (const count of [150, 1_500, 15_000]) {
    const rules = new RulesInForce();
    rules.applyUpdate({ changes: [], newest: 1, snapshot: { lines: linesOf(count), version: 1 } });
    let version = 1;
    bench(`of ${count} keys`, () => {
      version++;
      const isAdded = version % 2 === 1;
      const lines = isAdded
        ? { added: [keyLine(1)], removed: [] }
        : { added: [], removed: [keyLine(1)] };
      rules.applyUpdate({
        changes: [changeOf(version, lines)],
        newest: version,
        snapshot: undefined,
      });
    });
  }
});

describe('applying a snapshot', () => {
  for (const count of [150, 1_500, 15_000]) {
    const lines = linesOf(count);
    bench(`of ${count} keys`, () => {
      const rules = new RulesInForce();
      rules.applyUpdate({ changes: [], newest: 1, snapshot: { lines, version: 1 } });
    });
  }
});
