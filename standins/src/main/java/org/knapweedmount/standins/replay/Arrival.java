package org.knapweedmount.standins.replay;

/**
 * One request of a measured run.
 *
 * @param arrivalMicros when it was meant to be sent, in microseconds from the start of the run
 * @param runMicros how long the executor holds it, in microseconds
 */
public record Arrival(long arrivalMicros, long runMicros) {}
