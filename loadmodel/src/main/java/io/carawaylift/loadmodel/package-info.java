/**
 * A load model in virtual time without a network: callers, hosts with the decisions of the product and their delayed
 * reports, and endpoints with slots, queues and caches. Deterministic for a seed.
 */
package io.carawaylift.loadmodel;
