/** Counts the most events within any window of the given length, in the unit of the times. */
export function countMost(times: readonly number[], windowLength: number): number {
  const sorted = [...times].sort((left, right) => left - right);
  let first = 0;
  let most = 0;
  sorted.forEach((time, index) => {
    while (time - sorted[first]! >= windowLength) {
      first++;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}
