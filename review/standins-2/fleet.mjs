import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request as startRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url));

/** Command of the role that serves consumers, as the deploy file states it. */
function readCommand() {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const command = /^run = "([^"]+)"$/m.exec(text)?.[1];
  if (command === undefined) {
    throw new Error('the deploy file states no command');
  }
  return command.split(' ');
}

async function findFreePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise(resolve => {
    server.close(resolve);
  });
  return port;
}

/** The machines of a small deployment, each with a loopback address of its own and one process of the system. */
export class Fleet {
  nodes = [];
  #command = readCommand();
  #folder = mkdtempSync(join(tmpdir(), 'review-2-'));
  #isStopping = false;
  #checks;

  /** @param zones zone of each machine */
  constructor({ bounds = {}, log = () => undefined, store, zones }) {
    this.log = log;
    this.bounds = bounds;
    this.store = store;
    const second = 16 + (process.pid % 200);
    zones.forEach((zone, index) => {
      this.nodes.push({
        address: `127.${second}.0.${index + 1}`,
        index,
        inRotation: true,
        misses: 0,
        name: `front-${zone}-${index + 1}`,
        startedAt: 0,
        zone,
      });
    });
  }

  async start() {
    const [first] = this.nodes;
    this.port = await findFreePort(first.address);
    this.readyPort = await findFreePort(first.address);
    this.innerPort = await findFreePort(first.address);
    this.nodes.forEach(node => {
      this.run(node);
    });
    this.#checks = this.#checkReadiness();
    const endsAt = performance.now() + 15_000;
    while (this.nodes.some(({ isReady }) => !isReady)) {
      if (performance.now() > endsAt) {
        throw new Error('the processes were not ready within 15 s');
      }
      await sleep(50);
    }
  }

  /** Starts the process of a machine. */
  run(node) {
    const file = join(this.#folder, `${node.name}.toml`);
    writeFileSync(file, this.#makeSettings(node));
    const [program, ...parameters] = this.#command;
    const child = spawn(program, parameters, {
      cwd: REPOSITORY,
      env: { HOME: this.#folder, PATH: process.env.PATH, ZINCRING_SETTINGS: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.child = child;
    node.startedAt = performance.now();
    node.isReady = false;
    child.stdout.resume();
    child.stderr.resume();
    child.once('exit', (code, signal) => {
      node.exit = { at: performance.now(), code, signal };
    });
    this.log(`${node.name} started, process ${child.pid}`);
  }

  /** Sends a signal to the process of a machine and waits until it has ended; SIGKILL follows after the grace period. */
  async end(node, signal, graceMs = 8_000) {
    const { child } = node;
    const ended = new Promise(resolve => {
      child.once('exit', resolve);
    });
    this.log(`${node.name} gets ${signal}`);
    node.signalledAt = performance.now();
    child.kill(signal);
    const timeout = sleep(graceMs, 'late', { ref: false });
    if ((await Promise.race([ended, timeout])) === 'late') {
      child.kill('SIGKILL');
      await ended;
    }
    this.log(`${node.name} ended`);
  }

  async stop() {
    this.#isStopping = true;
    await this.#checks;
    for (const { child } of this.nodes) {
      if (child !== undefined && child.exitCode === null && child.signalCode === null) {
        const ended = new Promise(resolve => {
          child.once('exit', resolve);
        });
        child.kill('SIGKILL');
        await ended;
      }
    }
    rmSync(this.#folder, { force: true, recursive: true });
  }

  /** The machines that the platform uses for new channels of a zone. */
  listInRotation(zone) {
    const ofZone = this.nodes.filter(node => node.zone === zone);
    const used = ofZone.filter(({ inRotation }) => inRotation);
    if (used.length * 2 >= ofZone.length) {
      return used;
    }
    return ofZone;
  }

  async #checkReadiness() {
    while (!this.#isStopping) {
      await Promise.all(this.nodes.map(async node => await this.#checkNode(node)));
      await sleep(this.nodes.every(({ isReady }) => isReady) ? 1_000 : 250);
    }
  }

  async #checkNode(node) {
    const isReady = await new Promise(resolve => {
      const request = startRequest(
        { host: node.address, path: '/-/readiness', port: this.readyPort, timeout: 1_000 },
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
      request.end();
    });
    node.isReady = isReady;
    node.misses = isReady ? 0 : node.misses + 1;
    node.inRotation = node.misses < 2;
  }

  #makeSettings(node) {
    const zones = [...new Set(this.nodes.map(({ zone }) => zone))];
    const bounds = {
      ackTimeoutMs: 4000,
      addressReuseS: 2,
      catchUpS: 8,
      configApplyMs: 2000,
      contactMs: 3000,
      drainMs: 2000,
      finishS: 10,
      gracePeriodS: 8,
      lossSlackMs: 200,
      outerBoundMs: 5000,
      passMs: 120,
      quotaOverage: 0.1,
      quotaSlack: 20,
      quotaWindowS: 5,
      recoveryS: 12,
      retryAfterS: 0,
      revokeMs: 5000,
      rollbackSlackMs: 250,
      seedLagS: 3,
      settleMs: 1000,
      strictRevocation: true,
      ...this.bounds,
    };
    return [
      `nodeName = "${node.name}"`,
      'role = "gateway"',
      'machineClass = "front"',
      'serves = ["front"]',
      `ipAddress = "${node.address}"`,
      `zone = "${node.zone}"`,
      'region = "home"',
      `internalPortRange = [${this.innerPort},${this.innerPort}]`,
      'bootstrap = true',
      'discovery = "platform"',
      'entry = "virtual_ip"',
      'heartbeatIntervalMs = 1200',
      '[zones]',
      ...zones.map(zone => `${zone} = "home"`),
      '[listenAddresses]',
      `front = "${node.address}:${this.port}"`,
      `ready = "${node.address}:${this.readyPort}"`,
      '[limits]',
      'cpuShare = 0.675',
      'cores = 1',
      'memoryMb = 390',
      'fdLimit = 8200',
      'linkMbps = 1000.0',
      '[bounds]',
      ...Object.entries(bounds).map(([name, value]) => `${name} = ${value}`),
      '[platform]',
      `address = "${this.store}"`,
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
}

/** A consumer, whose channel stays with its machine until it is closed. */
export class Consumer {
  #agent = new Agent({ keepAlive: true, maxSockets: 1, timeout: 12_000 });

  constructor(fleet) {
    this.fleet = fleet;
  }

  close() {
    this.#agent.destroy();
  }

  /** Gives up the channel, so that the next request opens a new one. */
  leave() {
    this.#agent.destroy();
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1, timeout: 12_000 });
    this.node = undefined;
  }

  /**
   * Sends one attempt to a machine and reads its answer; `status` 0 is a channel without an answer. Events are
   * handed over as they arrive.
   */
  async send(node, { body, headers, method, path, timeoutMs }) {
    const sentAt = performance.now();
    return await new Promise(resolve => {
      let bytes = '';
      let status = 0;
      let answerHeaders = {};
      let isEnded = false;
      const end = reason => {
        if (!isEnded) {
          isEnded = true;
          resolve({
            body: bytes,
            headers: answerHeaders,
            isWhole: reason === 'whole',
            ms: performance.now() - sentAt,
            node,
            reason,
            sentAt,
            status,
          });
        }
      };
      const request = startRequest(
        {
          agent: this.#agent,
          headers: { ...headers, 'Content-Length': Buffer.byteLength(body ?? '') },
          host: node.address,
          method,
          path,
          port: this.fleet.port,
        },
        response => {
          ({ statusCode: status, headers: answerHeaders } = response);
          response.on('data', chunk => {
            bytes += chunk.toString('latin1');
          });
          response.on('end', () => end(response.complete ? 'whole' : 'cut'));
          response.on('error', () => end('cut'));
          response.on('close', () => end(response.complete ? 'whole' : 'cut'));
        },
      );
      const timer = sleep(timeoutMs, undefined, { ref: false });
      void timer.then(() => {
        if (!isEnded) {
          end('given up');
          request.destroy();
        }
      });
      request.on('error', failure => end(`no answer: ${failure.code ?? failure.message}`));
      request.end(body);
    });
  }
}

/** Random number generator with a seed. */
export function makeRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Makes an id as consumers do. */
export function makeId(random) {
  let id = '';
  for (let part = 0; part < 4; part += 1) {
    id += Math.floor(random() * 65_536)
      .toString(16)
      .padStart(4, '0');
  }
  return id;
}
