declare const brandTag: unique symbol;

/**
 * Nominal type: a `Value` that only the code owning the type may create.
 *
 * @example
 * type Kelvin = Brand<number, 'Kelvin'>;
 */
export type Brand<Value, Name extends string> = Value & { readonly [brandTag]: Name };
