/** The entry program: issues tickets, steers, queues and forwards requests, and delivers complete responses. */
package io.carawaylift.entry;
