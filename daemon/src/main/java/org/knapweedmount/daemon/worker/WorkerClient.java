package org.knapweedmount.daemon.worker;

import java.util.Optional;

import io.vertx.core.Future;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.core.worker.RunList;
import org.knapweedmount.core.worker.RunListFailure;
import org.knapweedmount.core.worker.StartReply;
import org.knapweedmount.core.worker.StopReply;
import org.knapweedmount.core.worker.WorkerIncarnation;
import org.knapweedmount.core.worker.health.HealthCheck;

/** Client for the calls of an agent to its worker. The returned futures never fail; errors are part of the result. */
public interface WorkerClient {
    /**
     * The reply to a request for the list of runs: either the list or the reason for the failure.
     *
     * @param list the list, empty if there is none
     * @param failure the reason for the failure, empty if there is a list
     */
    record RunListReply(Optional<RunList> list, Optional<RunListFailure> failure) {
        /**
         * Creates a successful reply.
         *
         * @param list the list
         * @return the reply
         */
        public static RunListReply of(RunList list) {
            return new RunListReply(Optional.of(list), Optional.empty());
        }

        /**
         * Creates a reply without a list.
         *
         * @param failure the reason for the failure
         * @return the reply
         */
        public static RunListReply failed(RunListFailure failure) {
            return new RunListReply(Optional.empty(), Optional.of(failure));
        }
    }

    /**
     * Starts a run.
     *
     * @param incarnation the worker incarnation that the call is meant for
     * @param spec the specification of the task, passed to the worker
     * @param run the run
     * @param fence the fencing token
     * @param leaseExpiryMillis when the worker's lease expires unless extended, by its clock, in ms
     * @return the reply
     */
    Future<StartReply> start(
            WorkerIncarnation incarnation, String spec, RunRequest run, long fence, long leaseExpiryMillis);

    /**
     * Stops a run.
     *
     * @param incarnation the worker incarnation that the call is meant for
     * @param run the run
     * @param fence the fencing token
     * @return the reply
     */
    Future<StopReply> stop(WorkerIncarnation incarnation, RunRef run, long fence);

    /**
     * Extends the worker's lease, which all runs depend on, and lists the runs.
     *
     * @param incarnation the worker incarnation that the call is meant for
     * @param fence the fencing token
     * @param acknowledged the number of the last run end that the agent has processed
     * @param leaseExpiryMillis when the worker's lease expires unless extended, by its clock, in ms; 0 to extend
     *     nothing
     * @param waitMillis how long the worker waits for a run to end before it replies, in ms
     * @return the reply
     */
    Future<RunListReply> list(
            WorkerIncarnation incarnation, long fence, long acknowledged, long leaseExpiryMillis, int waitMillis);

    /**
     * Asks the worker whether it is healthy.
     *
     * @param incarnation the worker incarnation that the call is meant for
     * @return what the worker says
     */
    Future<HealthCheck> checkHealth(WorkerIncarnation incarnation);
}
