package org.knapweedmount.standins.replay;

/**
 * The arrival of a request in a measured run.
 *
 * @param arrivalMicros the intended send time, in µs after the start of the run
 * @param runMicros the run time on the executor, in µs
 */
public record Arrival(long arrivalMicros, long runMicros) {}
