/** Upstream endpoints that run requests for a while, count what they ran, and fail on demand. */
package io.carawaylift.testing.upstream;
