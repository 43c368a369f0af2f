import { describe, expect, it } from 'vitest';

import { seatTerms } from '../../../stand-ins/src/experiments/limits/mechanisms.js';
import { RandomSource } from '../../../stand-ins/src/util/randomSource.js';
import { SimulatedFleet } from '../../../stand-ins/src/experiments/limits/simulatedFleet.js';
import { runRandomFaults } from './randomFaults.js';

const MINUTE_MILLISECONDS = 60_000;
const shortSeatTerms = {
  marginMilliseconds: 500,
  renewMilliseconds: 2_000,
  termMilliseconds: 12_000,
};
const limits = new Map([
  ['large', { burst: 40, rate: 20 }],
  ['small', { burst: 2, rate: 1 }],
  ['single', { burst: 1, rate: 2 }],
]);
/** Fraction of the rate that must be granted under overload after the faults. */
const MINIMUM_RECOVERED_FRACTION = 0.8;
/** A longer search uses more seeds: LIMIT_SEEDS=200 npx vitest run escrowedLimiter */
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

/** Sends requests to an instance and counts those granted within their maximum wait. */
async function countGranted(
  fleet: SimulatedFleet,
  instanceIndex: number,
  workspace: string,
  requests: number,
): Promise<number> {
  let granted = 0;
  for (let count = 0; count < requests; count++) {
    fleet.request(fleet.instances[instanceIndex]!, workspace, 2_000, outcome => {
      granted += outcome === 'granted' ? 1 : 0;
    });
  }
  await fleet.timers.advance(2_500);
  return granted;
}

function countViolations(fleet: SimulatedFleet): number {
  return [...fleet.checkers.values()].reduce((sum, checker) => sum + checker.violations, 0);
}

describe('rate and burst of the fleet under faults', () => {
  it.concurrent.each(seeds)(
    'are not exceeded and recover after the faults, seed %i',
    async seed => {
      const outcome = await runRandomFaults({
        instances: 5,
        mechanism: 'escrow',
        seatTerms: shortSeatTerms,
        seed,
        steps: 50,
      });
      expect(outcome.granted).toBeGreaterThan(0);
      expect([...outcome.violations.values()]).toEqual([0, 0, 0, 0]);
      expect(
        [...outcome.recoveredFractions].filter(
          ([, fraction]) => fraction < MINIMUM_RECOVERED_FRACTION,
        ),
      ).toEqual([]);
    },
  );

  it('are exceeded by static equal shares, which shows that the checker detects violations', async () => {
    const outcome = await runRandomFaults({
      instances: 5,
      mechanism: 'static-share',
      seatTerms: shortSeatTerms,
      seed: 1,
      steps: 50,
    });
    expect(Math.max(...outcome.violations.values())).toBeGreaterThan(0);
  });

  it('are not exceeded when a borrower is paused at any point of a loan', async () => {
    for (let offset = 0; offset <= 3.5; offset += 0.25) {
      for (const pause of [300, 700, 1_500, 6_000]) {
        const fleet = createFleet(7, 2);
        await fleet.timers.advance(10_000);
        for (const instanceIndex of [0, 1]) {
          await countGranted(fleet, instanceIndex, 'single', 1);
        }
        for (const instanceIndex of [0, 1]) {
          const [borrower, other] = [
            fleet.instances[instanceIndex]!,
            fleet.instances[1 - instanceIndex]!,
          ];
          fleet.request(borrower, 'single', 20_000, () => undefined);
          await fleet.timers.advance(offset);
          borrower.process.pause();
          await fleet.timers.advance(pause);
          borrower.process.resume();
          fleet.request(other, 'single', 0, () => undefined);
          fleet.request(borrower, 'single', 0, () => undefined);
          await fleet.timers.advance(3_000);
        }
        expect({ offset, pause, violations: countViolations(fleet) }).toMatchObject({
          violations: 0,
        });
      }
    }
  });
});

describe('grants of the fleet', () => {
  it('give small workspaces whole tokens through any instance', async () => {
    const fleet = createFleet(1, 13);
    await fleet.timers.advance(15_000);
    await countGranted(fleet, 0, 'small', 1);
    await fleet.timers.advance(5_000);
    const granted: number[] = [];
    for (let instanceIndex = 0; instanceIndex < 13; instanceIndex++) {
      granted.push(await countGranted(fleet, instanceIndex, 'small', 2));
    }
    expect(granted).toEqual(Array.from({ length: 13 }, () => 2));
  });

  it('continue through a store outage of 20 minutes with a crash in the middle', async () => {
    const fleet = createFleet(2, 5);
    await fleet.timers.advance(15_000);
    await countGranted(fleet, 0, 'small', 1);
    fleet.faults.set({ outage: 'refuse' });
    await fleet.timers.advance(10 * MINUTE_MILLISECONDS);
    fleet.restart(fleet.instances[4]!);
    await fleet.timers.advance(9 * MINUTE_MILLISECONDS + 50_000);
    expect(await countGranted(fleet, 1, 'small', 1)).toBe(1);
    expect(await countGranted(fleet, 4, 'large', 20)).toBe(20);
    fleet.faults.set({ outage: 'none' });
    await fleet.timers.advance(MINUTE_MILLISECONDS);
    expect(await countGranted(fleet, 4, 'large', 40)).toBe(40);
    expect(countViolations(fleet)).toBe(0);
  });

  it('recover immediately when an instance restarts, and after the lease term when it has crashed', async () => {
    const fleet = createFleet(3, 3);
    await fleet.timers.advance(15_000);
    const [victim, other] = [fleet.instances[0]!, fleet.instances[1]!];
    fleet.restart(victim);
    await fleet.timers.advance(10_000);
    const grantedByAll = await countGranted(fleet, 1, 'large', 100);
    expect(grantedByAll).toBeGreaterThan(70);
    fleet.crash(victim);
    await fleet.timers.advance(10_000);
    const grantedAfterCrash = await countGranted(fleet, 1, 'large', 100);
    expect(grantedAfterCrash).toBeLessThan(grantedByAll);
    await fleet.timers.advance(seatTerms.termMilliseconds + seatTerms.renewMilliseconds * 2);
    expect(await countGranted(fleet, 1, 'large', 100)).toBeGreaterThan(70);
    expect(other.process.state).toBe('running');
    expect(countViolations(fleet)).toBe(0);
  });

  it('are refused immediately with a retry time when they cannot be served in time', async () => {
    const fleet = createFleet(4, 2);
    await fleet.timers.advance(15_000);
    await countGranted(fleet, 0, 'single', 4);
    const sentAt = fleet.timers.now();
    const retryTimesMilliseconds: number[] = [];
    for (let count = 0; count < 12; count++) {
      void fleet.instances[0]!.mechanism.admit('single', 2_000).then(decision => {
        if (decision.status === 'refused') {
          retryTimesMilliseconds.push(decision.retryMilliseconds);
          expect(fleet.timers.now() - sentAt).toBeLessThan(1_000);
        }
      });
    }
    await fleet.timers.advance(900);
    expect(retryTimesMilliseconds.length).toBeGreaterThan(5);
    expect(Math.min(...retryTimesMilliseconds)).toBeGreaterThan(1_000);
    await fleet.timers.advance(4_000);
  });
});
