import type { AvailabilityZone, ServiceName } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';

import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { LaunchedProcess } from './childProcess.js';
import type { StandInProcess } from './standInProcess.js';

import { launch } from './childProcess.js';
import { PortReservations } from './portReservations.js';
import { launchStandIn } from './standInProcess.js';
import { waitUntil } from './waitUntil.js';

/** An instance that runs as a child process. */
export interface FleetInstance {
  readonly id: string;
  readonly zone: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly operatorAddress: string;
  readonly settingsFile: string;
  process: LaunchedProcess;
}

/** An upstream replica that runs as a child process. */
export interface FleetUpstream {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly standIn: StandInProcess;
}

/** Options of a {@link Fleet}. */
export interface FleetOptions {
  readonly instances: number;
  readonly zones: readonly string[];
  readonly engines: number;
  readonly plainServices: number;
  /** Settings of the instances, in addition to their names and addresses. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Command-line arguments of the engines, in addition to their role. */
  readonly engineCommandLine?: readonly string[];
  /** Delay until a change of the platform's list of instances is visible, in milliseconds. */
  readonly directoryLagMilliseconds?: number;
  /** Called with every log line of every instance. */
  readonly onLog?: (instance: string, line: string) => void;
}

/** Instances, upstreams and a platform stand-in, each a child process that listens on loopback. */
export class Fleet {
  public readonly instances: FleetInstance[] = [];
  public readonly upstreams: FleetUpstream[] = [];
  private readonly leavingIds = new Set<string>();
  private readonly ports = new PortReservations();

  private constructor(
    public readonly platform: StandInProcess,
    private readonly temporaryDirectory: string,
    private readonly options: FleetOptions,
  ) {}

  /** Starts all processes and publishes the list of instances and upstreams. */
  public static async start(options: FleetOptions): Promise<Fleet> {
    const platform = await launchStandIn('platform', [
      '--lag-milliseconds',
      String(options.directoryLagMilliseconds ?? 100),
    ]);
    const temporaryDirectory = await mkdtemp(join(tmpdir(), 'zincring-'));
    const fleet = new Fleet(platform, temporaryDirectory, options);
    for (let index = 0; index < options.engines; index++) {
      await fleet.addUpstream('engine', 'minutes-llm', options.engineCommandLine ?? []);
    }
    for (let index = 0; index < options.plainServices; index++) {
      await fleet.addUpstream('plain-service', 'ticket-app', []);
    }
    for (let index = 0; index < options.instances; index++) {
      await fleet.addInstance();
    }
    await fleet.publish();
    return fleet;
  }

  /** Starts another instance; {@link Fleet.publish} adds it to the list of instances. */
  public async addInstance(): Promise<FleetInstance> {
    const id = `entry-${this.instances.length + 1}`;
    const zone = this.zoneOf(this.instances.length);
    const [callerPort, peerPort, operatorPort] = [
      await this.ports.reserve(),
      await this.ports.reserve(),
      await this.ports.reserve(),
    ];
    const settings = {
      callerAddress: `127.0.0.1:${callerPort}`,
      instance: id,
      operatorAddress: `127.0.0.1:${operatorPort}`,
      peerAddress: `127.0.0.1:${peerPort}`,
      platform: { address: this.platform.address },
      zone,
      ...this.options.settings,
    };
    const settingsFile = join(this.temporaryDirectory, `${id}.json`);
    await writeFile(settingsFile, JSON.stringify(settings));
    const instance: FleetInstance = {
      callerAddress: settings.callerAddress,
      id,
      operatorAddress: settings.operatorAddress,
      peerAddress: settings.peerAddress,
      process: this.launchInstance(id, settingsFile),
      settingsFile,
      zone,
    };
    this.instances.push(instance);
    return instance;
  }

  /** Restarts an instance that has exited. */
  public restart(instance: FleetInstance): void {
    instance.process = this.launchInstance(instance.id, instance.settingsFile);
  }

  /** Starts another upstream; {@link Fleet.publish} adds it to the list of instances. */
  public async addUpstream(
    role: 'engine' | 'plain-service',
    service: string,
    commandLine: readonly string[],
  ): Promise<FleetUpstream> {
    const zone = this.zoneOf(this.upstreams.length);
    const standIn = await launchStandIn(role, commandLine);
    const upstream = { id: `${service}-${this.upstreams.length + 1}`, service, standIn, zone };
    this.upstreams.push(upstream);
    return upstream;
  }

  /** Marks an instance or upstream as leaving in the platform's list. */
  public async markLeaving(id: string): Promise<void> {
    this.leavingIds.add(id);
    await this.publish();
  }

  /** Sends the list of instances and upstreams to the platform, which shows it after its lag. */
  public async publish(): Promise<void> {
    const entries: DirectoryEntry[] = [
      ...this.instances.map(instance => ({
        address: instance.peerAddress,
        id: instance.id,
        role: { kind: 'entry' } as const,
        state: this.stateOf(instance.id),
        zone: instance.zone as AvailabilityZone,
      })),
      ...this.upstreams.map(upstream => ({
        address: upstream.standIn.address,
        id: upstream.id,
        role: { kind: 'upstream', service: upstream.service as ServiceName } as const,
        state: this.stateOf(upstream.id),
        zone: upstream.zone as AvailabilityZone,
      })),
    ];
    await this.controlPlatform('instances', { instances: entries });
  }

  /** Sends a control request, such as `faults`, to the platform stand-in. */
  public async controlPlatform(name: string, body: unknown): Promise<unknown> {
    return await controlStandIn(this.platform.address, name, body);
  }

  /** Runs zincringctl against the platform; returns its exit code and output. */
  public async runZincringctl(
    ...commandLine: readonly string[]
  ): Promise<{ readonly exitCode: number | null; readonly output: string }> {
    const lines: string[] = [];
    const process = launch({
      commandLine: [...commandLine, '--platform', this.platform.address],
      name: 'zincringctl',
      onLine: line => lines.push(line),
      script: 'control/dist/bin.js',
    });
    const exitCode = await process.waitForExit();
    return { exitCode, output: lines.join('\n') };
  }

  /** Writes a rule file and applies it with zincringctl. */
  public async applyRules(text: string): Promise<void> {
    const file = join(this.temporaryDirectory, 'rules.txt');
    await writeFile(file, text);
    const { exitCode, output } = await this.runZincringctl(
      'apply',
      file,
      '--requester',
      'fleet',
      '--reason',
      'start',
    );
    if (exitCode !== 0) {
      throw new Error(`zincringctl apply exited with code ${String(exitCode)}: ${output}`);
    }
  }

  /** Waits until every instance is ready. */
  public async waitUntilReady(): Promise<void> {
    for (const instance of this.instances) {
      await waitUntil(async () => {
        const response = await fetch(`http://${instance.operatorAddress}/ready`);
        return response.ok;
      });
    }
  }

  /** Kills every process and deletes the temporary files. */
  public async stop(): Promise<void> {
    const processes = [
      ...this.instances.map(instance => instance.process),
      ...this.upstreams.map(upstream => upstream.standIn.process),
      this.platform.process,
    ];
    await Promise.all(processes.map(async process => process.kill()));
    this.ports.release();
    await rm(this.temporaryDirectory, { force: true, recursive: true });
  }

  private launchInstance(id: string, settingsFile: string): LaunchedProcess {
    return launch({
      commandLine: ['--settings', settingsFile],
      name: id,
      onLine: line => this.options.onLog?.(id, line),
      script: 'instance/dist/bin.js',
    });
  }

  private zoneOf(index: number): string {
    return this.options.zones[index % this.options.zones.length] ?? 'zone';
  }

  private stateOf(id: string): 'leaving' | 'live' {
    return this.leavingIds.has(id) ? 'leaving' : 'live';
  }
}

/** Sends a control request to a stand-in and returns the JSON body of the response. */
export async function controlStandIn(
  address: string,
  name: string,
  body: unknown = {},
): Promise<unknown> {
  const response = await fetch(`http://${address}/stand-in/${name}`, {
    body: JSON.stringify(body),
    method: 'POST',
  });
  return await response.json();
}
