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

/** The calls that a worker takes from its agent. No future fails: what went wrong is in the result. */
public interface WorkerClient {
    /**
     * The answer to the wish for a list: either the list or why there is none.
     *
     * @param list the list, empty if there is none
     * @param failure why there is no list, empty if there is one
     */
    record RunListReply(Optional<RunList> list, Optional<RunListFailure> failure) {
        /**
         * Returns the answer with a list.
         *
         * @param list the list
         * @return the answer
         */
        public static RunListReply of(RunList list) {
            return new RunListReply(Optional.of(list), Optional.empty());
        }

        /**
         * Returns the answer without a list.
         *
         * @param failure why there is no list
         * @return the answer
         */
        public static RunListReply failed(RunListFailure failure) {
            return new RunListReply(Optional.empty(), Optional.of(failure));
        }
    }

    /**
     * Starts a run.
     *
     * @param life the life that is meant
     * @param spec what the task is to do
     * @param item the run
     * @param fence the fencing token
     * @param untilMillis when all runs end unless extended, by the worker's clock, in ms
     * @return the answer
     */
    Future<StartReply> start(WorkerIncarnation life, String spec, RunRequest item, long fence, long untilMillis);

    /**
     * Stops a run.
     *
     * @param life the life that is meant
     * @param run the run
     * @param fence the fencing token
     * @return the answer
     */
    Future<StopReply> stop(WorkerIncarnation life, RunRef run, long fence);

    /**
     * Extends all runs and lists them.
     *
     * @param life the life that is meant
     * @param fence the fencing token
     * @param acknowledged the number of the last end that is taken note of
     * @param untilMillis when all runs end unless extended, by the worker's clock, in ms; 0 to extend nothing
     * @param waitMillis how long the worker waits for an end before it answers, in ms
     * @return the answer
     */
    Future<RunListReply> list(WorkerIncarnation life, long fence, long acknowledged, long untilMillis, int waitMillis);
}
