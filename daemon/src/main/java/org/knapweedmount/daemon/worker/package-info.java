/** The agent process that runs beside a worker. */
package org.knapweedmount.daemon.worker;
