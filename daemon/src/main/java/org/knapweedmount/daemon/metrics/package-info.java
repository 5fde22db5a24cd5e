/** The metrics of a process in the format of Prometheus. */
package org.knapweedmount.daemon.metrics;
