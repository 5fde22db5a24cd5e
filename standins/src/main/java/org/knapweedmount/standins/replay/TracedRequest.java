package org.knapweedmount.standins.replay;

/**
 * A request of a measured run with its response time.
 *
 * @param arrival when it was meant to be sent and how long it ran
 * @param responseMicros the response time, in microseconds
 */
record TracedRequest(Arrival arrival, long responseMicros) {}
