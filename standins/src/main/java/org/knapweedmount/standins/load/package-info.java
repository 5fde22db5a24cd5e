/**
 * Generates an open-loop load on the entries and measures the response times.
 *
 * <p>The times at which requests are sent do not depend on earlier responses, and each response time is measured from
 * the intended send time, so that a stall is counted for every request that it delays.
 */
package org.knapweedmount.standins.load;
