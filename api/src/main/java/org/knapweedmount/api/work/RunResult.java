package org.knapweedmount.api.work;

/**
 * Tells how a run ended.
 *
 * @param ref the run
 * @param outcome how it ended
 * @param elapsedMillis how long it ran, in ms
 * @param checkpoint the last state that was saved, empty if none was
 */
public record RunResult(RunRef ref, RunOutcome outcome, int elapsedMillis, String checkpoint) {}
