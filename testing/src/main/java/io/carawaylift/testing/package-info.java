/** Programs that stand in for the systems around carawaylift, and the demonstration that starts them all. */
package io.carawaylift.testing;
