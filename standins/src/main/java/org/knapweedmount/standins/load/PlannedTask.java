package org.knapweedmount.standins.load;

/**
 * A task of a planned request.
 *
 * @param runMicros the run time, in µs
 * @param declaredMillis the declared run time, in ms; 0 if none is declared
 */
record PlannedTask(long runMicros, int declaredMillis) {}
