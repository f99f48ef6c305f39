/** Programs that simulate the systems around carawaylift, and the demonstration that starts them. */
package io.carawaylift.testing;
