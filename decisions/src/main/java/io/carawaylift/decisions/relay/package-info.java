/** Choice of the hosts that collect and forward the reports of their region. */
package io.carawaylift.decisions.relay;
