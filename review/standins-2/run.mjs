import { Buffer } from 'node:buffer';
import { appendFileSync, writeFileSync } from 'node:fs';
import process from 'node:process';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Longest time that a script may take, in milliseconds. */
const MAXIMUM_MS = 119_000;

/** Whether the script makes its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** What was sent, answered and run, with the time since the start in seconds. */
export class Record {
  #file;
  #startedAt = performance.now();
  #lines = [];

  constructor(file) {
    this.#file = file;
    writeFileSync(file, `TROUBLE=${hasTrouble ? 1 : 0}\n`);
  }

  get seconds() {
    return (performance.now() - this.#startedAt) / 1_000;
  }

  add(line) {
    this.#lines.push(`${this.seconds.toFixed(3)} ${line}`);
    if (this.#lines.length >= 200) {
      this.flush();
    }
  }

  flush() {
    appendFileSync(this.#file, this.#lines.map(line => `${line}\n`).join(''));
    this.#lines = [];
  }

  async until(seconds) {
    await sleep(Math.max(0, seconds * 1_000 - (performance.now() - this.#startedAt)));
  }
}

/** Runs a script and exits with its verdict; whatever it has started is stopped first. */
export async function runScript(file, script) {
  const record = new Record(file);
  const started = [];
  const own = item => {
    started.push(item);
    return item;
  };
  const finish = async code => {
    for (const item of started.reverse()) {
      await item.stop();
    }
    record.add(`exit ${code}`);
    record.flush();
    process.exit(code);
  };
  setTimeout(() => {
    record.add('the script took too long');
    void finish(NOT_RUN);
  }, MAXIMUM_MS).unref();
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => void finish(NOT_RUN));
  }
  let code = NOT_RUN;
  try {
    code = await script(record, own);
  } catch (failure) {
    record.add(`the script failed: ${failure.stack ?? failure}`);
    process.stderr.write(`${failure.stack ?? failure}\n`);
  }
  await finish(code);
}

/** Prints a line of the verdict, which the record holds too. */
export function tell(record, line) {
  record.add(line);
  process.stdout.write(`${line}\n`);
}

/** Splits the events of a stream, as far as they are whole. */
export function splitEvents(text) {
  return text
    .split('\n\n')
    .slice(0, -1)
    .map(block => {
      const lines = block.split('\n');
      const find = name => lines.find(line => line.startsWith(`${name}: `))?.slice(name.length + 2);
      return { data: find('data'), id: find('id') };
    });
}

/** Reads a body as text. */
export function toText(body) {
  return Buffer.from(body).toString('latin1');
}
