import tsResults from 'ts-results';

import type { Err as ErrType, Ok as OkType, Result as ResultType } from 'ts-results';

/** A value or a typed error; see the documentation of ts-results. */
export type Result<Value, Failure> = ResultType<Value, Failure>;
/** The successful side of a {@link Result}. */
export type Ok<Value> = OkType<Value>;
/** The failed side of a {@link Result}. */
export type Err<Failure> = ErrType<Failure>;

// ts-results is CommonJS: under ES modules its values are available only on the default import.
export const Ok = tsResults.Ok;
export const Err = tsResults.Err;
