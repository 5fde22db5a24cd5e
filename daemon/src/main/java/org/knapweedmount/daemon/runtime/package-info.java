/** The decision thread with its bounded queue, and the lifecycle of a process. */
package org.knapweedmount.daemon.runtime;
