/** Common parts of all programs: settings, start and stop, logging, metrics and an admin server. */
package io.carawaylift.runtime;
