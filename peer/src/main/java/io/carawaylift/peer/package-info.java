/** Framed MessagePack messages over TCP between the project's own processes. */
package io.carawaylift.peer;
