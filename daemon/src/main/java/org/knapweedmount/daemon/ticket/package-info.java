/** Configuration change tickets: acceptance, distribution, audit trail and the HTTP interface for operators. */
package org.knapweedmount.daemon.ticket;
