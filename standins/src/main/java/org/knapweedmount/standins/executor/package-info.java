/** Stands in for the endpoints of a service and for workers, with switches for their faults. */
package org.knapweedmount.standins.executor;
