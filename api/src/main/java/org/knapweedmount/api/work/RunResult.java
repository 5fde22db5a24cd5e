package org.knapweedmount.api.work;

/**
 * The result of a run.
 *
 * @param ref the run
 * @param outcome how the run ended
 * @param elapsedMillis the duration of the run, in ms
 * @param checkpoint the last checkpoint that the run saved, from which another run can resume; empty if there is none
 */
public record RunResult(RunRef ref, RunOutcome outcome, int elapsedMillis, String checkpoint) {}
