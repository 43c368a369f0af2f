import type { Epoch, ProgramId } from '@zincring/core';

/** Is notified when programs end, so that engines can release the memory held for them. */
export interface ProgramEndListener {
  /**
   * Called when a program has ended. May be called again for the same program, also by a later
   * holder of the shard.
   *
   * @param epoch fencing token for orders to upstreams
   */
  onProgramEnd(program: ProgramId, epoch: Epoch): void;
}
