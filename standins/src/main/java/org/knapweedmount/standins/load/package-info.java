/**
 * Puts an open-loop load on the entries and measures the answers.
 *
 * <p>Requests are sent at times that don't depend on earlier answers, and each is measured from the time that it was
 * meant to be sent, so that a stall counts for every request that it delays.
 */
package org.knapweedmount.standins.load;
