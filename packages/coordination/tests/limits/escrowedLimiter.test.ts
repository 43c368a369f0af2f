import { describe, expect, it } from 'vitest';

import { seatTerms } from '../../../stand-ins/src/experiments/limits/mechanisms.js';
import { RandomSource } from '../../../stand-ins/src/util/randomSource.js';
import { SimulatedFleet } from '../../../stand-ins/src/experiments/limits/simulatedFleet.js';
import { runFaultHistory } from './faultHistory.js';

const MINUTE = 60_000;
const shortTerms = {
  marginMilliseconds: 500,
  renewMilliseconds: 2_000,
  termMilliseconds: 12_000,
};
const limits = new Map([
  ['large', { burst: 40, rate: 20 }],
  ['small', { burst: 2, rate: 1 }],
  ['single', { burst: 1, rate: 2 }],
]);
/** Part of the rate that must be granted under overload after the faults. */
const LEAST_RECOVERED = 0.8;
/** More seeds for a longer search: LIMIT_SEEDS=200 npx vitest run escrowedLimiter */
const seeds = Array.from(
  { length: Number(process.env['LIMIT_SEEDS'] ?? 10) },
  (_, index) => index + 1,
);

function createFleet(seed: number, instances: number): SimulatedFleet {
  const random = new RandomSource(seed);
  return new SimulatedFleet({
    drift: 0.0005,
    instances,
    limits,
    mechanism: 'escrow',
    random,
    seatTerms,
  });
}

/** Sends requests to an instance and tells how many were granted within their wait. */
async function countGranted(
  fleet: SimulatedFleet,
  place: number,
  workspace: string,
  requests: number,
): Promise<number> {
  let granted = 0;
  for (let count = 0; count < requests; count++) {
    fleet.request(fleet.instances[place]!, workspace, 2_000, outcome => {
      granted += outcome === 'granted' ? 1 : 0;
    });
  }
  await fleet.timers.advance(2_500);
  return granted;
}

function violations(fleet: SimulatedFleet): number {
  return [...fleet.checkers.values()].reduce((sum, checker) => sum + checker.violations, 0);
}

describe('the rate and burst of the fleet under faults', () => {
  it.concurrent.each(seeds)('stay within the bound and come back, seed %i', async seed => {
    const outcome = await runFaultHistory({
      instances: 5,
      mechanism: 'escrow',
      seatTerms: shortTerms,
      seed,
      steps: 50,
    });
    expect(outcome.granted).toBeGreaterThan(0);
    expect([...outcome.violations.values()]).toEqual([0, 0, 0, 0]);
    expect([...outcome.recovered].filter(([, part]) => part < LEAST_RECOVERED)).toEqual([]);
  });

  it('are passed by equal shares, which shows that the checker sees it', async () => {
    const outcome = await runFaultHistory({
      instances: 5,
      mechanism: 'static-share',
      seatTerms: shortTerms,
      seed: 1,
      steps: 50,
    });
    expect(Math.max(...outcome.violations.values())).toBeGreaterThan(0);
  });

  it('hold when a borrower is paused at any point of a loan', async () => {
    for (let offset = 0; offset <= 3.5; offset += 0.25) {
      for (const pause of [300, 700, 1_500, 6_000]) {
        const fleet = createFleet(7, 2);
        await fleet.timers.advance(10_000);
        for (const place of [0, 1]) {
          await countGranted(fleet, place, 'single', 1);
        }
        for (const place of [0, 1]) {
          const [borrower, other] = [fleet.instances[place]!, fleet.instances[1 - place]!];
          fleet.request(borrower, 'single', 20_000, () => undefined);
          await fleet.timers.advance(offset);
          borrower.process.pause();
          await fleet.timers.advance(pause);
          borrower.process.resume();
          fleet.request(other, 'single', 0, () => undefined);
          fleet.request(borrower, 'single', 0, () => undefined);
          await fleet.timers.advance(3_000);
        }
        expect({ offset, pause, violations: violations(fleet) }).toMatchObject({ violations: 0 });
      }
    }
  });
});

describe('what the fleet grants', () => {
  it('is whole tokens for small workspaces, through any instance', async () => {
    const fleet = createFleet(1, 13);
    await fleet.timers.advance(15_000);
    await countGranted(fleet, 0, 'small', 1);
    await fleet.timers.advance(5_000);
    const granted: number[] = [];
    for (let place = 0; place < 13; place++) {
      granted.push(await countGranted(fleet, place, 'small', 2));
    }
    expect(granted).toEqual(Array.from({ length: 13 }, () => 2));
  });

  it('goes on through 20 minutes without the store, with a crash in the middle', async () => {
    const fleet = createFleet(2, 5);
    await fleet.timers.advance(15_000);
    await countGranted(fleet, 0, 'small', 1);
    fleet.faults.set({ outage: 'refuse' });
    await fleet.timers.advance(10 * MINUTE);
    fleet.restart(fleet.instances[4]!);
    await fleet.timers.advance(9 * MINUTE + 50_000);
    expect(await countGranted(fleet, 1, 'small', 1)).toBe(1);
    expect(await countGranted(fleet, 4, 'large', 20)).toBe(20);
    fleet.faults.set({ outage: 'none' });
    await fleet.timers.advance(MINUTE);
    expect(await countGranted(fleet, 4, 'large', 40)).toBe(40);
    expect(violations(fleet)).toBe(0);
  });

  it('comes back at once to an instance that starts again, and by the term to the others', async () => {
    const fleet = createFleet(3, 3);
    await fleet.timers.advance(15_000);
    const [victim, other] = [fleet.instances[0]!, fleet.instances[1]!];
    fleet.restart(victim);
    await fleet.timers.advance(10_000);
    const full = await countGranted(fleet, 1, 'large', 100);
    expect(full).toBeGreaterThan(70);
    fleet.crash(victim);
    await fleet.timers.advance(10_000);
    const reduced = await countGranted(fleet, 1, 'large', 100);
    expect(reduced).toBeLessThan(full);
    await fleet.timers.advance(seatTerms.termMilliseconds + seatTerms.renewMilliseconds * 2);
    expect(await countGranted(fleet, 1, 'large', 100)).toBeGreaterThan(70);
    expect(other.process.state).toBe('running');
    expect(violations(fleet)).toBe(0);
  });

  it('tells at once when a refused request may come again', async () => {
    const fleet = createFleet(4, 2);
    await fleet.timers.advance(15_000);
    await countGranted(fleet, 0, 'single', 4);
    const sentAt = fleet.timers.now();
    const answers: number[] = [];
    for (let count = 0; count < 12; count++) {
      void fleet.instances[0]!.mechanism.admit('single', 2_000).then(admittance => {
        if (admittance.status === 'refused') {
          answers.push(admittance.retryMilliseconds);
          expect(fleet.timers.now() - sentAt).toBeLessThan(1_000);
        }
      });
    }
    await fleet.timers.advance(900);
    expect(answers.length).toBeGreaterThan(5);
    expect(Math.min(...answers)).toBeGreaterThan(1_000);
    await fleet.timers.advance(4_000);
  });
});
