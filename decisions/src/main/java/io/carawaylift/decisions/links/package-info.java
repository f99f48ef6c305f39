/** Rate limits for the bytes sent between regions. */
package io.carawaylift.decisions.links;
