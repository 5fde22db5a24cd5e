package org.knapweedmount.daemon.dispatch;

import java.util.OptionalInt;

import org.knapweedmount.core.dispatch.JobStep;

/**
 * A job of one step that an operator asks about and that is not submitted.
 *
 * @param id the ID that it would have; the sample of workers that is preferred depends on it
 * @param host the requested host, without a port
 * @param path the path
 * @param step its tasks
 * @param deadlineMillis how long its caller would wait, in ms; empty for the timeout of the queue
 */
public record JobQuestion(String id, String host, String path, JobStep step, OptionalInt deadlineMillis) {}
