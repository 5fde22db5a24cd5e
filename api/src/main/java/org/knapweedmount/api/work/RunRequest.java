package org.knapweedmount.api.work;

import org.knapweedmount.api.Resources;

/**
 * A run that an entry wants a worker to start.
 *
 * @param ref the task and the number of the run
 * @param resources the room that the run takes
 * @param expectedMillis how long the run is expected to take on an ordinary worker, in ms
 * @param checkpoint where the run resumes from, empty to start from the beginning
 */
public record RunRequest(RunRef ref, Resources resources, int expectedMillis, String checkpoint) {}
