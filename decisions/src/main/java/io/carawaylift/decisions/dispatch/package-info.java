/** Pure decisions about when and where the requests of one host are sent: admission, order of the queue and endpoint. */
package io.carawaylift.decisions.dispatch;
