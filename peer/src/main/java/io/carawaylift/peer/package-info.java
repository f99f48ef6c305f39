/** Exchanges framed MessagePack messages over TCP between the processes of the project. */
package io.carawaylift.peer;
