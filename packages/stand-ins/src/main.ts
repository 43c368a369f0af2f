import type { TimerService } from '@zincring/core';

import { SystemTimerService } from '@zincring/core';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { StandInHandler } from './util/jsonServer.js';

import { EngineServer } from './engine/engineServer.js';
import { PlatformServer } from './platform/platformServer.js';
import { PlainServiceServer } from './service/plainServiceServer.js';
import { serveStandIn } from './util/jsonServer.js';

/** Exit code of an engine that a poison request crashed. */
const CRASH_EXIT_CODE = 70;

const command = yargs(hideBin(process.argv))
  .scriptName('stand-in')
  .usage('$0 --role ROLE: runs an engine, a service or the platform as a stand-in on loopback')
  .strict()
  .options({
    'cache-event-gap': {
      default: 0,
      describe: 'engine: omit every n-th cache event; 0 omits none',
      type: 'number',
    },
    'cache-tokens': {
      default: 400_000,
      describe: 'engine: capacity of the prefix cache',
      type: 'number',
    },
    'checks-fencing': {
      default: true,
      describe: 'engine: refuse release requests with an outdated fencing token',
      type: 'boolean',
    },
    'lag-milliseconds': {
      default: 500,
      describe: 'lag of the instance list, or of load reports and cache events',
      type: 'number',
    },
    port: { default: 0, describe: 'port to listen on; 0 chooses a free port', type: 'number' },
    'prefill-tokens': {
      default: 2_000,
      describe: 'engine: prompt tokens computed per step',
      type: 'number',
    },
    role: { choices: ['engine', 'plain-service', 'platform'] as const, demandOption: true },
    slots: {
      default: 8,
      describe: 'engine: maximum requests decoded concurrently',
      type: 'number',
    },
    'step-milliseconds': { default: 10, describe: 'engine: duration of one step', type: 'number' },
  });

const settings = await command.parseAsync();

function createHandler(timers: TimerService): StandInHandler {
  switch (settings.role) {
    case 'platform':
      return new PlatformServer({ directoryLagMilliseconds: settings.lagMilliseconds, timers })
        .handle;
    case 'plain-service':
      return new PlainServiceServer(timers).handle;
    case 'engine':
      return new EngineServer({
        cacheEventGap: settings.cacheEventGap,
        cacheTokens: settings.cacheTokens,
        checksFencing: settings.checksFencing,
        onCrash: () => process.exit(CRASH_EXIT_CODE),
        prefillTokensPerStep: settings.prefillTokens,
        reportLagMilliseconds: settings.lagMilliseconds,
        slots: settings.slots,
        stepMilliseconds: settings.stepMilliseconds,
        timers,
      }).handle;
  }
}

const { port } = await serveStandIn(createHandler(new SystemTimerService()), settings.port);
process.stdout.write(`${JSON.stringify({ address: `127.0.0.1:${port}`, role: settings.role })}\n`);
