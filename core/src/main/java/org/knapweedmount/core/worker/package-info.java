/** The agent of a worker: which runs start, how long they may continue, and which entry is offered free capacity. */
package org.knapweedmount.core.worker;
