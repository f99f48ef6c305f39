package io.carawaylift.model;

/**
 * One process of an upstream, as listed by the platform.
 *
 * @param id unique across all upstreams
 * @param url base URL, for example {@code http://127.0.0.1:9000}
 * @param slots number of requests that it can run at the same time
 * @param maxConnections number of connections that it accepts
 * @param leaving whether it is draining: it is about to stop and gets no new requests
 */
public record Endpoint(String id, String upstream, String url, int slots, int maxConnections, boolean leaving) {}
