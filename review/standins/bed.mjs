// A small deployment on loopback addresses: the store, the instances as processes, and what all cases share.
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as startRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { setTimeout } from 'node:timers';

import { Store } from './store.mjs';

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '../..');
/** Command of the deploy file. */
const COMMAND = ['node', '--single-threaded', 'target/zincring.js'];
const PORTS = { callers: 8368, control: 8367, metrics: 7790, peers: 7780, readiness: 8369 };
const START_TIMEOUT_MILLISECONDS = 15_000;

export const ZONES = ['nelson', 'castlegar', 'trail', 'kaslo'];
export const EXIT = { broken: 1, held: 0, notRun: 2 };
/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const pause = async milliseconds =>
  await new Promise(resolve => setTimeout(resolve, milliseconds));

export const makeId = () => randomBytes(8).toString('hex');

/** Whether all ports of an instance are free at an address. */
async function isFree(host) {
  for (const port of Object.values(PORTS)) {
    const free = await new Promise(resolve => {
      const probe = createServer();
      probe.once('error', () => {
        resolve(false);
      });
      probe.listen(port, host, () => {
        probe.close(() => {
          resolve(true);
        });
      });
    });
    if (!free) {
      return false;
    }
  }
  return true;
}

/** Loopback addresses that this run uses: a network of its own, so that runs do not meet. */
const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
let nextHost = 10;

export async function takeAddress() {
  for (let tries = 0; tries < 50; tries++) {
    const host = `${network}.${nextHost++}`;
    if (await isFree(host)) {
      return host;
    }
  }
  throw new Error('no free loopback address');
}

/** A process of the system, started with the command of the deploy file. */
export class Instance {
  hasEnded = false;

  constructor(bed, name, zone, host) {
    Object.assign(this, { bed, host, name, zone });
    this.file = join(bed.folder, `${name}.toml`);
  }

  async start() {
    writeFileSync(this.file, makeSettings(this, this.bed));
    const { HOME, LANG, PATH } = process.env;
    this.hasEnded = false;
    this.child = spawn(COMMAND[0], COMMAND.slice(1), {
      cwd: REPOSITORY,
      env: { HOME, LANG, PATH, ZINCRING_SETTINGS: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.bed.folder, `${this.name}.log`), { flags: 'a' });
    this.child.stdout.pipe(log, { end: false });
    this.child.stderr.pipe(log, { end: false });
    this.ended = new Promise(resolve => {
      this.child.once('exit', (code, signal) => {
        this.hasEnded = true;
        this.bed.note(`${this.name} ended: code ${code}, signal ${signal}`);
        resolve();
      });
    });
    const until = performance.now() + START_TIMEOUT_MILLISECONDS;
    while (!(await this.isReady())) {
      if (this.hasEnded || performance.now() > until) {
        throw new Error(`${this.name} does not get ready`);
      }
      await pause(50);
    }
    this.bed.note(`${this.name} is ready`);
  }

  signal(name) {
    this.bed.note(`${name} to ${this.name}`);
    this.child.kill(name);
  }

  async isReady() {
    return await new Promise(resolve => {
      const probe = startRequest({
        agent: false,
        host: this.host,
        path: '/-/readiness',
        port: PORTS.readiness,
        timeout: 500,
      });
      probe.on('response', response => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      probe.on('timeout', () => probe.destroy());
      probe.on('error', () => {
        resolve(false);
      });
      probe.end();
    });
  }

  get callers() {
    return { host: this.host, port: PORTS.callers };
  }
}

/** Store, instances and record of one run. */
export class Bed {
  store = new Store();
  instances = [];
  startedAt = performance.now();

  constructor(caseUrl, bounds = {}) {
    this.bounds = bounds;
    this.folder = mkdtempSync(join(tmpdir(), 'zincring-review-'));
    this.record = createWriteStream(join(dirname(fileURLToPath(caseUrl)), 'record.txt'));
    this.note(hasTrouble ? 'with the disruption' : 'without the disruption');
  }

  note(text) {
    const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(3).padStart(8);
    this.record.write(`${seconds} ${text}\n`);
  }

  async start(configuration, count) {
    await this.store.start(await takeAddress());
    this.store.put('op', 'config', configuration);
    for (let index = 0; index < count; index++) {
      const zone = ZONES[index % ZONES.length];
      const name = `front-${zone}-${1 + Math.floor(index / ZONES.length)}`;
      this.instances.push(new Instance(this, name, zone, await takeAddress()));
    }
    await Promise.all(this.instances.map(each => each.start()));
  }

  /** Ends all processes of the run and closes the record. */
  async stop() {
    for (const each of this.instances) {
      if (each.child !== undefined && !each.hasEnded) {
        each.child.kill('SIGKILL');
        await each.ended;
      }
    }
    this.store.stop();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { force: true, recursive: true });
    } else {
      process.stdout.write(`logs: ${this.folder}\n`);
    }
    await new Promise(resolve => this.record.end(resolve));
  }
}

function makeSettings({ host, name, zone }, { bounds, store }) {
  const region = 'west-kootenay';
  const all = {
    ackTimeoutMs: 4_000,
    addressReuseS: 2,
    catchUpS: 4,
    configApplyMs: 2_000,
    contactMs: 3_000,
    drainMs: 2_000,
    finishS: 10,
    gracePeriodS: 8,
    lossSlackMs: 200,
    outerBoundMs: 5_000,
    passMs: 120,
    quotaOverage: 0.1,
    quotaSlack: 20,
    quotaWindowS: 5,
    recoveryS: 12,
    retryAfterS: 0,
    revokeMs: 5_000,
    rollbackSlackMs: 250,
    seedLagS: 3,
    settleMs: 1_000,
    strictRevocation: true,
    ...bounds,
  };
  return [
    `nodeName = "${name}"`,
    'role = "gateway"',
    'machineClass = "front"',
    'serves = ["front"]',
    `ipAddress = "${host}"`,
    `zone = "${zone}"`,
    `region = "${region}"`,
    `internalPortRange = [${PORTS.peers}, ${PORTS.peers + 15}]`,
    'seedNodes = []',
    'bootstrap = true',
    'countsTowardLoss = false',
    'discovery = "platform"',
    'entry = "virtual_ip"',
    'heartbeatIntervalMs = 1200',
    'contracts = ["base","drain","config","cost","recover","agent","stream","engine","tenants","quota","platform"]',
    '[zones]',
    ...ZONES.map(each => `${each} = "${region}"`),
    '[listenAddresses]',
    `front = "${host}:${PORTS.callers}"`,
    `ready = "${host}:${PORTS.readiness}"`,
    '[limits]',
    'cpuShare = 0.675',
    'cores = 2',
    'memoryMb = 210',
    'fdLimit = 8200',
    'linkMbps = 1000.0',
    'diskMb = 0',
    '[faultTolerance]',
    'machines = 1',
    'zones = 0',
    'regions = 0',
    '[bounds]',
    ...Object.entries(all).map(([key, value]) => `${key} = ${value}`),
    '[platform]',
    `address = "${store.address}"`,
    'form = "table"',
    'writesPerS = 800',
    'readsPerS = 2000',
    'transactionMs = 5.0',
    'partWritesPerS = 200',
    'rowBytes = 65536',
    'across = false',
    'historyS = 20',
    '',
  ].join('\n');
}

export const KEY = '3fexd9dnn2ctnfzs989a';
export const TENANT = 'hule930';
export const HOST = 'ficu95.example';

export const callerLimits = {
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
  maxBodyBytes: 4_194_304,
  maxHeaderBytes: 16_384,
};

/** Routes and services as on the sheet of klrwp-zincring. */
export function makeConfiguration(version = 7, limits = { burst: 0, ratePerS: 0 }) {
  const engine = {
    backups: true,
    handle_s: 5,
    holdMs: 2_000,
    kvCacheTokens: 378_886,
    kvTokenBytes: 18_432,
    linkMbps: 740_000,
    models: [{ name: 'm' }],
    most: 12,
    moves: true,
    pinMs: 4_000,
    slots: 12,
    tokensPerEvent: 23,
  };
  const stream = {
    contextRetained: false,
    host: HOST,
    kind: 'streaming',
    maxAttempts: 1,
    priority: 0,
    public: false,
    resumable: true,
    retentionS: 60,
    service: 'minutes-llm',
    stickySessions: true,
    targetGapMs: 300,
    targetLatencyMs: 250,
    timeoutMs: 3_000,
  };
  const plain = {
    ...stream,
    priority: 2,
    resumable: false,
    service: 'ticket-app',
    stickySessions: false,
    targetGapMs: undefined,
  };
  return {
    limits: callerLimits,
    routes: [
      { ...stream, name: 'r-summary', prefix: '/summary/', priority: 1 },
      { ...stream, name: 'r-trace', prefix: '/trace/' },
      {
        ...plain,
        kind: 'safe',
        maxAttempts: 2,
        name: 'r-alert',
        prefix: '/alert/',
        targetLatencyMs: 120,
        timeoutMs: 1_200,
      },
      {
        ...plain,
        kind: 'unsafe',
        name: 'r-order',
        prefix: '/order/',
        stickySessions: true,
        targetLatencyMs: 400,
      },
      {
        ...plain,
        kind: 'unsafe',
        name: 'r-credit',
        prefix: '/credit/',
        timeoutMs: 1_500,
      },
    ],
    services: [
      {
        engine,
        healthCheckPath: '/health',
        maxConnections: 170,
        name: 'minutes-llm',
        protocol: 'h1',
        tls: false,
      },
      {
        healthCheckPath: '/health',
        maxConnections: 110,
        name: 'ticket-app',
        protocol: 'h1',
        tls: false,
      },
    ],
    tenants: [{ apiKeys: [KEY], name: TENANT, priority: 1, ...limits }],
    version,
  };
}

/** Registration of a replica in the store. */
export function makeRegistration({ address, coldRemainingMs = 0, service, slots, zone }) {
  return {
    address,
    born: Date.now(),
    coldRemainingMs,
    models: [{ adapters: [], name: 'm', version: 1 }],
    sequence: 1,
    service,
    slots,
    stage: 'both',
    state: 'ready',
    version: 'v1',
    zone,
  };
}

/** Time after which a run that hangs is given up. */
const RUN_TIMEOUT_MILLISECONDS = 110_000;

/** Makes each way in which a run can end early count as one that could not run, and end its processes. */
function guard(bed) {
  const giveUp = reason => {
    process.stderr.write(`could not run: ${reason}\n`);
    process.exit(EXIT.notRun);
  };
  process.on('exit', () => {
    for (const { child, hasEnded } of bed.instances) {
      if (child !== undefined && !hasEnded) {
        child.kill('SIGKILL');
      }
    }
  });
  process.on('uncaughtException', failure => giveUp(failure.stack));
  process.on('unhandledRejection', failure => giveUp(failure?.stack ?? failure));
  process.on('SIGINT', () => giveUp('interrupted'));
  process.on('SIGTERM', () => giveUp('terminated'));
  setTimeout(() => giveUp('the run takes too long'), RUN_TIMEOUT_MILLISECONDS).unref();
}

/** Runs a case; the function returns whether the rule was broken, and throws if the case could not run. */
export async function runCase(bed, play) {
  guard(bed);
  let code = EXIT.notRun;
  try {
    code = (await play()) ? EXIT.broken : EXIT.held;
  } catch (failure) {
    bed.note(`could not run: ${failure.stack ?? failure}`);
  }
  bed.note(['the rule held', 'the rule was broken', 'the case could not run'][code]);
  await bed.stop();
  process.exit(code);
}
