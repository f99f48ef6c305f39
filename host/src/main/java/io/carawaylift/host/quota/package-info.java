/** Limits customers' requests on a running host: exchange of counts with other hosts, permits, log and metrics. */
package io.carawaylift.host.quota;
