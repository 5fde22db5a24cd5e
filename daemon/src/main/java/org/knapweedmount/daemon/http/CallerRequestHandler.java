package org.knapweedmount.daemon.http;

import java.util.List;

import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.core.entry.SubmissionRequest;

/** The decisions on callers' requests; used on the decision thread only. */
public interface CallerRequestHandler {
    /**
     * Issues ids.
     *
     * @param count how many
     * @return the ids, empty if none can be issued at present
     */
    List<SubmissionId> issueIds(int count);

    /**
     * Takes a submission; a task without a kind is of the service's default kind.
     *
     * @param request the number that the answer is given under
     * @param submission the submission
     * @param nowNanos the present time
     */
    void submit(long request, SubmissionRequest submission, long nowNanos);

    /**
     * Takes a question for the state of a submission.
     *
     * @param request the number that the answer is given under
     * @param id the submission
     * @param awaitEnd true if the answer is wanted when the submission has ended
     * @param nowNanos the present time
     */
    void status(long request, SubmissionId id, boolean awaitEnd, long nowNanos);

    /**
     * Takes a cancellation.
     *
     * @param request the number that the answer is given under
     * @param id the submission
     * @param nowNanos the present time
     */
    void cancel(long request, SubmissionId id, long nowNanos);
}
