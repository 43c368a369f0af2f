declare const brandTag: unique symbol;

/**
 * A nominal type: a `Value` that only the owning constructor may produce.
 *
 * @example
 * type Kelvin = Brand<number, 'Kelvin'>;
 */
export type Brand<Value, Name extends string> = Value & { readonly [brandTag]: Name };
