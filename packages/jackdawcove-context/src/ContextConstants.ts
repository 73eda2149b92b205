/** Constants of the context of a request. */

/** Name of the header that a backend server passes on with its own calls. */
export const CONTEXT_HEADER_NAME = 'Jackdaw-Context';

/** Version of the encoding of the header. */
export const CONTEXT_VERSION = 1;

/** Longest header that is read. */
export const MAXIMUM_HEADER_LENGTH = 1_024;

/** Longest identifier in a context. */
export const MAXIMUM_IDENTIFIER_LENGTH = 200;

/** Deepest chain that can be expressed; configuration sets a lower limit. */
export const MAXIMUM_SUPPORTED_DEPTH = 256;
