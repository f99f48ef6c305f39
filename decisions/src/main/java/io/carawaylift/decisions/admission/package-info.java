/** Admission control: queues by rank and customer, retry budgets and the health of endpoints. */
package io.carawaylift.decisions.admission;
