/** The forwarding program: tickets, steering, admission, dispatch and complete answers. */
package io.carawaylift.entry;
