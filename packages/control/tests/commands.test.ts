import { hashKey } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { ApplyOptions } from '../src/index.js';

import {
  apply,
  audit,
  check,
  diff,
  exitCodes,
  keysIssue,
  keysWithdraw,
  parseControlSettings,
  programsShow,
  show,
  status,
} from '../src/index.js';
import { ControlHarness, changeOptions } from './controlHarness.js';

const rules = 'workspace utility rate=50 burst=100 # dana: pilot\nservice desk # omar: desk\n';

function applyOptions(changes: Partial<ApplyOptions> = {}): ApplyOptions {
  return {
    ...changeOptions,
    baseVersion: undefined,
    file: 'rules.txt',
    mayWithdrawKeys: false,
    ...changes,
  };
}

async function setUp(): Promise<ControlHarness> {
  const harness = new ControlHarness();
  harness.files.set('rules.txt', rules);
  const applied = await harness.run(async context =>
    apply(context, applyOptions({ changeId: 'first' })),
  );
  expect(applied.exitCode).toBe(exitCodes.done);
  return harness;
}

async function issueKey(harness: ControlHarness): Promise<string> {
  const options = { ...changeOptions, changeId: 'issue', name: 'clerk', workspace: 'utility' };
  const issued = await harness.run(async context => keysIssue(context, options), true);
  return (JSON.parse(issued.standard) as { readonly key: string }).key;
}

describe('check', () => {
  it('reports every error with its line and exits with 2', async () => {
    const harness = new ControlHarness();
    harness.files.set('bad.txt', 'workspcae a # b: c\nservice s\n');
    const result = await harness.run(async context => check(context, { file: 'bad.txt' }));
    expect(result.exitCode).toBe(exitCodes.invalid);
    expect(result.errors).toContain('line 1: found "workspcae"');
    expect(result.errors).toContain('line 2: found "no comment"');
  });
});

describe('apply', () => {
  it('applies nothing unless the whole file is valid', async () => {
    const harness = await setUp();
    harness.files.set('rules.txt', `${rules}service s timeout=x # a: b\n`);
    const result = await harness.run(async context => apply(context, applyOptions()));
    expect(result.exitCode).toBe(exitCodes.invalid);
    expect((await harness.run(show)).standard).toContain('# version 1');
  });

  it.each([
    { requester: ' ' },
    { reason: '' },
    { requester: 'a:b' },
    { reason: 'a\u001bb' },
    { changeId: 'a/b' },
  ])('rejects the options %j', async changes => {
    const harness = await setUp();
    const result = await harness.run(async context => apply(context, applyOptions(changes)));
    expect(result.exitCode).toBe(exitCodes.invalid);
  });

  it('reports the accepted change to the loser of two concurrent changes', async () => {
    const harness = await setUp();
    harness.files.set('mine.txt', `# version 1\n${rules}service mine # a: b\n`);
    harness.files.set('theirs.txt', `# version 1\n${rules}service theirs # a: b\n`);
    const results = await Promise.all(
      ['mine.txt', 'theirs.txt'].map(async (file, index) =>
        harness.run(async context =>
          apply(context, applyOptions({ changeId: `race-${index}`, file })),
        ),
      ),
    );
    expect(results.map(({ exitCode }) => exitCode).sort()).toEqual([
      exitCodes.done,
      exitCodes.conflict,
    ]);
    const loser = results.find(({ exitCode }) => exitCode === exitCodes.conflict);
    const winner = results[0]?.exitCode === exitCodes.done ? 'mine' : 'theirs';
    expect(loser?.errors).toContain(`+ service ${winner} # a: b`);
    expect(loser?.errors).toContain('dana: pilot contract');
  });

  it('applies a change once if it is repeated after lost responses', async () => {
    const harness = await setUp();
    harness.files.set('rules.txt', `${rules}service more # a: b\n`);
    harness.faults.set({ lostAnswers: 10 });
    const options = applyOptions({ changeId: 'again' });
    const firstResult = await harness.run(async context => apply(context, options));
    expect(firstResult.exitCode).toBe(exitCodes.unavailable);
    expect(firstResult.errors).toContain('--change-id again');
    harness.faults.set({ lostAnswers: 0 });
    const repeatedResult = await harness.run(async context => apply(context, options));
    expect(repeatedResult.exitCode).toBe(exitCodes.done);
    expect((await harness.run(show)).standard).toContain('# version 2');
  });

  it('withdraws keys that are missing from the file only with the option for it', async () => {
    const harness = await setUp();
    await issueKey(harness);
    const refused = await harness.run(async context => apply(context, applyOptions()));
    expect([refused.exitCode, refused.errors]).toEqual([
      exitCodes.invalid,
      'the file leaves out keys in force (clerk); add --withdraw-keys\n',
    ]);
    const options = applyOptions({ mayWithdrawKeys: true });
    const applied = await harness.run(async context => apply(context, options));
    expect(applied.exitCode).toBe(exitCodes.done);
  });

  it('waits a bounded time for live instances and reports which ones lag and why', async () => {
    const harness = await setUp();
    harness.instances.push(
      { id: 'entry-1', version: 9 },
      { id: 'entry-2', version: 1 },
      { blockedVersion: 2, id: 'entry-3', version: 1 },
      { id: 'entry-4', isUnreachable: true, version: 1 },
      { id: 'entry-5', state: 'leaving', version: 1 },
    );
    harness.files.set('rules.txt', `${rules}service more # a: b\n`);
    const options = applyOptions({ waitSeconds: 5 });
    const result = await harness.run(async context => apply(context, options), true);
    expect(result.exitCode).toBe(exitCodes.notInForce);
    expect(JSON.parse(result.standard)).toMatchObject({
      inForce: ['entry-1'],
      lagging: [
        { instance: 'entry-2', reason: 'version 1 is in force' },
        { instance: 'entry-3', reason: 'cannot take up version 2: unknown setting' },
        { instance: 'entry-4', reason: 'no answer: connection refused' },
      ],
      version: 2,
    });
    harness.timers.after(1_000, () => {
      harness.instances.forEach(instance => {
        Object.assign(instance, { isUnreachable: false, version: 3 });
      });
    });
    harness.files.set('rules.txt', rules);
    const laterResult = await harness.run(async context =>
      apply(context, { ...options, changeId: 'c' }),
    );
    expect([laterResult.exitCode, laterResult.standard]).toEqual([
      exitCodes.done,
      'version 3 accepted\n0 rules added, 1 removed\nin force on 4 live instances\n',
    ]);
  });
});

describe('diff and show', () => {
  it('shows what a file would change, and writes a file that changes nothing', async () => {
    const harness = await setUp();
    harness.files.set('new.txt', rules.replace('rate=50', 'rate=60'));
    const result = await harness.run(async context => diff(context, { file: 'new.txt' }));
    expect(result.standard).toBe(
      '- workspace utility rate=50 burst=100 # dana: pilot\n+ workspace utility rate=60 burst=100 # dana: pilot\n',
    );
    harness.files.set('shown.txt', (await harness.run(show)).standard);
    const unchangedResult = await harness.run(
      async context => diff(context, { file: 'shown.txt' }),
      true,
    );
    expect(JSON.parse(unchangedResult.standard)).toEqual({ added: [], removed: [], version: 1 });
  });
});

describe('keys', () => {
  it('shows an issued key once and stores only its hash', async () => {
    const harness = await setUp();
    const key = await issueKey(harness);
    expect(key).toMatch(/^zincring-[A-Za-z0-9_-]{43}$/);
    const stored = JSON.stringify(harness.table.scan({ limit: 100, prefix: '' }));
    expect(stored).not.toContain(key);
    expect((await harness.run(show)).standard).toContain(
      `hash=${hashKey(key)} # dana: pilot contract`,
    );
    const repeatedOptions = {
      ...changeOptions,
      changeId: 'issue',
      name: 'clerk-2',
      workspace: 'utility',
    };
    const repeated = await harness.run(async context => keysIssue(context, repeatedOptions));
    expect([repeated.exitCode, repeated.standard]).toEqual([exitCodes.invalid, '']);
  });

  it('issues and withdraws keys during concurrent changes and records each in the audit log', async () => {
    const harness = await setUp();
    await issueKey(harness);
    const withdrawOptions = {
      ...changeOptions,
      changeId: 'left',
      name: 'clerk',
      reason: 'left the office',
    };
    harness.files.set(
      'bigger.txt',
      `# version 2\n${(await harness.run(show)).standard}service x # a: b\n`,
    );
    const [withdrawn, applied] = await Promise.all([
      harness.run(async context => keysWithdraw(context, withdrawOptions)),
      harness.run(async context => apply(context, applyOptions({ file: 'bigger.txt' }))),
    ]);
    expect(withdrawn.exitCode).toBe(exitCodes.done);
    expect(harness.table.commits).toBe(applied.exitCode === exitCodes.done ? 4 : 3);
    expect((await harness.run(show)).standard).not.toContain('key clerk');
    const auditLog = await harness.run(async context =>
      audit(context, { after: 0, includesLines: true, limit: 9 }),
    );
    expect(auditLog.standard).toMatch(/dana: left the office {2}\(left\)\n- key clerk/);
    const repeatedResult = await harness.run(async context =>
      keysWithdraw(context, withdrawOptions),
    );
    expect(repeatedResult.exitCode).toBe(exitCodes.done);
    const newChangeOptions = { ...withdrawOptions, changeId: 'unknown' };
    const missingResult = await harness.run(async context =>
      keysWithdraw(context, newChangeOptions),
    );
    expect(missingResult.exitCode).toBe(exitCodes.notFound);
  });

  it('rejects a key of a workspace that does not exist', async () => {
    const harness = await setUp();
    const options = { ...changeOptions, name: 'clerk', workspace: 'utilty' };
    const result = await harness.run(async context => keysIssue(context, options));
    expect(result.exitCode).toBe(exitCodes.invalid);
    expect(result.errors).toContain('did you mean "utility"?');
  });
});

describe('status and programs show', () => {
  it('queries every instance and reports which did not respond', async () => {
    const harness = await setUp();
    harness.instances.push(
      { id: 'entry-1', version: 1 },
      { id: 'entry-2', isUnreachable: true, version: 1 },
    );
    const text = (await harness.run(status)).standard;
    expect(text).toContain('version in the store: 1');
    expect(text).toMatch(/entry-1 +nelson +live +yes +1 +2 +0 +0/);
    expect(text).toMatch(/entry-2 +nelson +live +no answer: connection refused/);
    expect(text).toMatch(/entry-1 +ticket-app +ticket-app-1/);
    const json = JSON.parse((await harness.run(status, true)).standard) as {
      readonly instances: unknown;
    };
    expect(json.instances).toMatchObject([
      { instance: 'entry-1', limits: [{ granted: 5, workspace: 'utility' }], shards: [1, 2] },
      { failure: 'connection refused', instance: 'entry-2' },
    ]);
  });

  it('finds the home of a program', async () => {
    const harness = await setUp();
    harness.instances.push(
      { id: 'entry-1', version: 1 },
      { id: 'entry-2', program: 'p', version: 1 },
    );
    const found = await harness.run(async context => programsShow(context, { program: 'p' }));
    expect(found.standard).toContain('holder: entry-2');
    const missingResult = await harness.run(async context =>
      programsShow(context, { program: 'q' }),
    );
    expect(missingResult.exitCode).toBe(exitCodes.notFound);
  });

  it('exits with 4 if the platform is unavailable', async () => {
    const harness = await setUp();
    harness.faults.set({ outage: 'refuse' });
    const results = await Promise.all([status, show].map(async command => harness.run(command)));
    expect(results.map(({ exitCode }) => exitCode)).toEqual([4, 4]);
  });
});

describe('parseControlSettings', () => {
  it.each([
    [{}, '$.platform: Invalid input: expected object, received undefined'],
    [
      { plattform: {}, platform: { address: '127.0.0.1:1' } },
      '$.plattform: unknown setting; did you mean "platform"?',
    ],
    [
      { platform: { address: 'x' } },
      '$.platform.address: expected an IP address and a port, 127.0.0.1:4100',
    ],
  ])('rejects the settings %j', (value, problem) => {
    const parsed = parseControlSettings(value);
    expect(parsed.err && parsed.val).toEqual([problem]);
  });
});
