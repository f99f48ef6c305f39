/** The control program: copies the table, keeps membership and ownership, and makes the calls to the platform. */
package io.carawaylift.control;
