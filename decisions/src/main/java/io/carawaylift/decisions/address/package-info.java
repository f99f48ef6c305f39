/** Maps client addresses to sites and chooses the hosts to which callers are sent. */
package io.carawaylift.decisions.address;
