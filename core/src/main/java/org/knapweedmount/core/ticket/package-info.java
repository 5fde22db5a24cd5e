/** The acceptance of change tickets and their audit trail. */
package org.knapweedmount.core.ticket;
