/** Traffic steering: chooses upstreams by the table's weights and owners by load, and divides limits among endpoints. */
package io.carawaylift.decisions.steering;
