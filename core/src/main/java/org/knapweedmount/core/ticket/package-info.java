/** Acceptance of change tickets and the records of the audit trail. */
package org.knapweedmount.core.ticket;
