package org.knapweedmount.standins.replay;

/**
 * A request of a measured run with its response time.
 *
 * @param arrival the intended send time and the run time
 * @param responseMicros the response time, in µs
 */
record TracedRequest(Arrival arrival, long responseMicros) {}
