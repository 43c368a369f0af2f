import type { Epoch, ProgramId } from '@zincring/core';

/** Hears of programs that have ended, so that what upstreams hold for them can be released. */
export interface ProgramEndListener {
  /**
   * A program has ended. The same end may be told again, also by a later holder of the shard.
   *
   * @param epoch fencing number for orders to upstreams
   */
  onProgramEnd(program: ProgramId, epoch: Epoch): void;
}
