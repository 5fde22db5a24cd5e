package org.knapweedmount.standins.load;

/**
 * One task of a planned request.
 *
 * @param runMicros how long it runs, in µs
 * @param declaredMillis the run time that it declares, in ms, 0 for none
 */
record PlannedTask(long runMicros, int declaredMillis) {}
