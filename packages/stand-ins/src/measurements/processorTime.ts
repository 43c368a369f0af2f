import { readFile } from 'node:fs/promises';

/** Ticks of the processor clock in a second, as Linux counts the time of processes. */
const TICKS_PER_SECOND = 100;
/** Fields of the process status after the command name: user time, then system time. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/**
 * Processor time that a process has used, in seconds.
 *
 * @example
 * const before = await readProcessorSeconds(process.pid);
 */
export async function readProcessorSeconds(processId: number): Promise<number> {
  const status = await readFile(`/proc/${processId}/stat`, 'utf8');
  const fields = status.slice(status.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  return ticks / TICKS_PER_SECOND;
}
