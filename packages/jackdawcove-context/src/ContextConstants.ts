/** Constants of the request context. */

/** Name of the header that a backend server forwards with its own calls. */
export const CONTEXT_HEADER_NAME = 'Jackdaw-Context';

/** Version of the encoding of the header. */
export const CONTEXT_VERSION = 1;

/** Maximum length of a header value that is decoded, in characters. */
export const MAXIMUM_HEADER_LENGTH = 1_024;

/** Maximum length of an identifier in a context, in characters. */
export const MAXIMUM_IDENTIFIER_LENGTH = 200;

/**
 * Maximum depth of a call chain that a context can express; the configuration
 * sets a lower limit.
 */
export const MAXIMUM_SUPPORTED_DEPTH = 256;
