package org.knapweedmount.daemon.worker;

import java.util.Optional;

import io.vertx.core.Future;
import org.knapweedmount.api.work.RunItem;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.core.worker.ListFailure;
import org.knapweedmount.core.worker.StartReply;
import org.knapweedmount.core.worker.StopReply;
import org.knapweedmount.core.worker.WorkerLife;
import org.knapweedmount.core.worker.WorkerList;

/** Client for the calls of an agent to its worker. The returned futures never fail; errors are part of the result. */
public interface WorkerCalls {
    /**
     * The reply to a request for the list of runs: either the list or the reason for the failure.
     *
     * @param list the list, empty if there is none
     * @param failure the reason for the failure, empty if there is a list
     */
    record ListReply(Optional<WorkerList> list, Optional<ListFailure> failure) {
        /**
         * Creates a successful reply.
         *
         * @param list the list
         * @return the reply
         */
        public static ListReply of(WorkerList list) {
            return new ListReply(Optional.of(list), Optional.empty());
        }

        /**
         * Creates a reply without a list.
         *
         * @param failure the reason for the failure
         * @return the reply
         */
        public static ListReply failed(ListFailure failure) {
            return new ListReply(Optional.empty(), Optional.of(failure));
        }
    }

    /**
     * Starts a run.
     *
     * @param life the incarnation of the worker that is addressed
     * @param spec the specification of the task, passed to the worker
     * @param item the run
     * @param fence the fencing token
     * @param untilMillis the deadline at which the worker ends all runs unless extended, by its clock, in ms
     * @return the reply
     */
    Future<StartReply> start(WorkerLife life, String spec, RunItem item, long fence, long untilMillis);

    /**
     * Stops a run.
     *
     * @param life the incarnation of the worker that is addressed
     * @param run the run
     * @param fence the fencing token
     * @return the reply
     */
    Future<StopReply> stop(WorkerLife life, RunRef run, long fence);

    /**
     * Extends the deadline of all runs and lists the runs.
     *
     * @param life the incarnation of the worker that is addressed
     * @param fence the fencing token
     * @param acknowledged the number of the last run ending that the agent has processed
     * @param untilMillis the deadline at which the worker ends all runs, by its clock, in ms; 0 to extend nothing
     * @param waitMillis how long the worker waits for a run to end before it replies, in ms
     * @return the reply
     */
    Future<ListReply> list(WorkerLife life, long fence, long acknowledged, long untilMillis, int waitMillis);
}
