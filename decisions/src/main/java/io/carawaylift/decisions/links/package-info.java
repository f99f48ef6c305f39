/** Byte budgets of the links between regions. */
package io.carawaylift.decisions.links;
