/** Which hosts collect and pass on what the others of their region report, and what is known of each region. */
package io.carawaylift.decisions.relay;
