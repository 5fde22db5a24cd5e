package org.knapweedmount.daemon.http;

import java.util.List;

import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.core.entry.SubmissionRequest;

/** Handles callers' requests. Must be used on the decision thread. */
public interface CallerRequestHandler {
    /**
     * Issues submission IDs.
     *
     * @param count the number of IDs
     * @return the IDs, empty if none can be issued at present
     */
    List<SubmissionId> issueIds(int count);

    /**
     * Handles a submission; a task without a kind has the default kind of the service.
     *
     * @param request the request number that the answer refers to
     * @param submission the submission
     * @param nowNanos the current time, in ns
     */
    void submit(long request, SubmissionRequest submission, long nowNanos);

    /**
     * Handles a status request for a submission.
     *
     * @param request the request number that the answer refers to
     * @param id the submission ID
     * @param awaitEnd true to answer only when the submission has ended
     * @param nowNanos the current time, in ns
     */
    void status(long request, SubmissionId id, boolean awaitEnd, long nowNanos);

    /**
     * Handles a cancellation.
     *
     * @param request the request number that the answer refers to
     * @param id the submission ID
     * @param nowNanos the current time, in ns
     */
    void cancel(long request, SubmissionId id, long nowNanos);
}
