import type { ManualTimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

import type { GatewayPeer } from '../../src/peers/gatewayPeer.js';

/** Faults of the way to another instance, each with the probability of a call to meet it. */
export interface PeerFaults {
  /** The call does not arrive. */
  lostRequests: number;
  /** The call takes effect, but its answer does not arrive. */
  lostAnswers: number;
  /** The call takes effect long after its caller gave up. */
  lateRequests: number;
}

/** Round trip between two instances, and timeout of a call, in milliseconds. */
const ROUND_TRIP_MILLISECONDS = 3;
const TIMEOUT_MILLISECONDS = 150;
const LATE_MILLISECONDS = 900;

/** Wraps an instance with a way to it that loses and delays calls. */
export function makeFaultyPeer(
  inner: () => GatewayPeer,
  timers: ManualTimerService,
  random: () => number,
  faults: PeerFaults,
): GatewayPeer {
  const call = async <Reply>(work: () => Promise<Reply>, unreachable: Reply): Promise<Reply> => {
    const point = random();
    const { lateRequests, lostAnswers, lostRequests } = faults;
    if (point < lostRequests) {
      await sleep(timers, TIMEOUT_MILLISECONDS);
      return unreachable;
    }
    if (point < lostRequests + lateRequests) {
      timers.after(LATE_MILLISECONDS, () => void work());
      await sleep(timers, TIMEOUT_MILLISECONDS);
      return unreachable;
    }
    await sleep(timers, ROUND_TRIP_MILLISECONDS);
    const reply = await work();
    if (point < lostRequests + lateRequests + lostAnswers) {
      await sleep(timers, TIMEOUT_MILLISECONDS);
      return unreachable;
    }
    return reply;
  };
  return {
    acquireOwned: async bucket =>
      await call(async () => await inner().acquireOwned(bucket), { kind: 'unreachable' }),
    acquirePermit: async request =>
      await call(async () => await inner().acquirePermit(request), { kind: 'unreachable' }),
    reportRate: async report => await call(async () => await inner().reportRate(report), false),
    reserveOwned: async demand =>
      await call(async () => await inner().reserveOwned(demand), { kind: 'unreachable' }),
    settleOwned: async (reservation, deliveredTokens) =>
      await call(async () => await inner().settleOwned(reservation, deliveredTokens), false),
  };
}
