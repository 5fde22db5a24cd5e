package org.knapweedmount.api.work;

import org.knapweedmount.api.Resources;

/**
 * A request to start a run on a worker.
 *
 * @param ref the run
 * @param resources the resources that the run needs
 * @param expectedMillis the expected duration of the run on a worker of normal speed, in ms
 * @param checkpoint the checkpoint from which the run resumes, empty to start from the beginning
 */
public record RunRequest(RunRef ref, Resources resources, int expectedMillis, String checkpoint) {}
