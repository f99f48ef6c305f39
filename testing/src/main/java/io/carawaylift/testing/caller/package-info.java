/** Client that uses lookups and tickets and checks every response, and an open-loop load generator. */
package io.carawaylift.testing.caller;
