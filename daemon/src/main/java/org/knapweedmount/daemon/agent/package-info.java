/** The agent process beside endpoints and workers: its HTTP interface, its requests to endpoints and its links. */
package org.knapweedmount.daemon.agent;
