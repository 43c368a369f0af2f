import { hashKey } from '@zincring/core';

import { CallerClient } from '../launch/callerClient.js';
import { Fleet, waitUntil } from '../launch/fleet.js';

const KEY = 'demonstration-key';

const rules = `
workspace utility rate=200 burst=400 # dana: the pilot of the utility
key utility-clerk workspace=utility hash=${hashKey(KEY)} # dana: clerks of the utility
service minutes-llm protocol=engine fencing=checked timeout=30 # omar: model replicas
service ticket-app protocol=plain idempotent=no timeout=10 # omar: work orders
program trace services=minutes-llm,ticket-app tokens=100000 calls=50 idle=600 # dana: complaint traces
`;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function findHome(fleet: Fleet, program: string, client: CallerClient): Promise<string> {
  // The demonstration knows no internals: it kills whichever instance answers, one at a time,
  // and shows that the program goes on.
  const first = fleet.instances[0];
  if (first === undefined) {
    throw new Error('there is no instance');
  }
  await client.describeProgram(first.callerAddress, program);
  return first.id;
}

const fleet = await Fleet.start({
  engines: 2,
  instances: 3,
  plainServices: 1,
  settings: { logLevel: 'warn' },
  zones: ['nelson', 'castlegar', 'trail'],
});
try {
  await fleet.applyRules(rules);
  await fleet.waitUntilReady();
  const client = new CallerClient(KEY);
  const addresses = fleet.instances.map(instance => instance.callerAddress);
  const at = (index: number): string => addresses[index % addresses.length] ?? '';

  let program = '';
  await waitUntil(async () => {
    const opened = await client.openProgram(at(0), 'trace');
    program = String(opened.body['program']);
    return opened.status === 201;
  });
  print(`program ${program} opened through ${fleet.instances[0]?.id ?? ''}`);
  for (let turn = 1; turn <= 3; turn++) {
    const answer = await client.call(at(turn), program, {
      call: `call-${turn}`,
      input: `question ${turn}`,
      maxTokens: 8,
      service: 'minutes-llm',
      turn,
    });
    print(
      `turn ${turn} through entry-${(turn % 3) + 1}: ${answer.text}${JSON.stringify(answer.closed)}`,
    );
  }
  const killed = await findHome(fleet, program, client);
  await fleet.instances[0]?.process.kill();
  print(`${killed} killed`);
  const answer = await client.call(at(1), program, {
    call: 'order-1',
    input: { street: 'Front Street', work: 'flush the main' },
    path: '/orders',
    service: 'ticket-app',
    turn: 4,
  });
  print(
    `turn 4 after the kill: ${answer.status} ${answer.text} ${JSON.stringify(answer.closed ?? answer.error)}`,
  );
} finally {
  await fleet.stop();
}
