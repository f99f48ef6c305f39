package io.carawaylift.model;

/**
 * One process of an upstream as the platform lists it.
 *
 * @param id unique over all upstreams
 * @param url base URL, for example {@code http://127.0.0.1:9000}
 * @param slots requests it can run at once
 * @param maxConnections connections it accepts
 * @param leaving whether it is about to stop and gets no new work
 */
public record Endpoint(String id, String upstream, String url, int slots, int maxConnections, boolean leaving) {}
