import { readFile } from 'node:fs/promises';

/** Clock ticks per second in which Linux reports the processor time of processes. */
const TICKS_PER_SECOND = 100;
/** Index of the user time among the fields of `/proc/PID/stat` after the command name. */
const USER_TIME_INDEX = 11;
/** Index of the system time among the same fields. */
const SYSTEM_TIME_INDEX = 12;

/**
 * Returns the processor time that a process has used, in seconds.
 *
 * @example
 * const before = await readProcessorSeconds(process.pid);
 */
export async function readProcessorSeconds(processId: number): Promise<number> {
  const statLine = await readFile(`/proc/${processId}/stat`, 'utf8');
  const fields = statLine.slice(statLine.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_INDEX]) + Number(fields[SYSTEM_TIME_INDEX]);
  return ticks / TICKS_PER_SECOND;
}
