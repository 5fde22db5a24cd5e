/** The metrics of a process in the text format of Prometheus. */
package org.knapweedmount.daemon.metrics;
