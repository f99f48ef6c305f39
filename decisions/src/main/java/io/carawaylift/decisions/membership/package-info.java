/** Which entry processes of a failure domain are alive, and which of them report and watch. */
package io.carawaylift.decisions.membership;
