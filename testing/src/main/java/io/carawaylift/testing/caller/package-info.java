/** Callers that follow the rules for lookups and tickets, check every answer, and offer an open-loop load. */
package io.carawaylift.testing.caller;
