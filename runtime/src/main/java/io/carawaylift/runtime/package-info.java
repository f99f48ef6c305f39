/** What every program needs: settings, start and stop, logs, metrics and an administration server. */
package io.carawaylift.runtime;
