/** Maximum size of request headers that Node's parser accepts, in bytes. The operator's limit is checked separately. */
export const MAXIMUM_PARSED_HEADER_BYTES = 65_536;
