/** Simulates the endpoints of a service, and workers, with fault injection. */
package org.knapweedmount.standins.executor;
