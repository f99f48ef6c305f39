/** The control program: replicates the table, maintains membership and ownership, and calls the platform. */
package io.carawaylift.control;
