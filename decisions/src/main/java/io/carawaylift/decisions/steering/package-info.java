/** Choice of upstream and owner by the table's weights, and how limits are divided over endpoints. */
package io.carawaylift.decisions.steering;
