/** The map from blocks of client addresses to sites. */
package io.carawaylift.decisions.address;
