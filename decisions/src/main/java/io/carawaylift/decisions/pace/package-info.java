/** The rate and the share of requests for an endpoint that has just started or recovered. */
package io.carawaylift.decisions.pace;
