package io.carawaylift.entry;

import okio.ByteString;

/**
 * A request as received, with its whole body.
 *
 * @param uri path with query, starting with a slash
 */
record RawRequest(String method, String uri, HeaderList headers, ByteString body) {}
