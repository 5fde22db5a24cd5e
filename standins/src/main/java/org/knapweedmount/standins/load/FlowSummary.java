package org.knapweedmount.standins.load;

import java.util.Map;

/**
 * The statistics of the requests of one flow, for the report.
 *
 * @param flow the name of the flow
 * @param sent requests sent, not counting resubmissions
 * @param complete requests with a complete response
 * @param failed requests with the outcome failed
 * @param notRun requests with the outcome not-run
 * @param unknown requests with the outcome unknown
 * @param unreached requests for which no connection could be established
 * @param lost requests whose connection failed or that timed out before a response was received
 * @param noAnswer requests without a response when the load ended
 * @param wrong requests with a response that is incomplete, belongs to another request, or states no outcome
 * @param notSent requests that were not sent because too many were in flight; not included in {@code sent}
 * @param resubmitted requests sent a second time through another entry
 * @param contradictions pairs of responses to one submission that contradict each other
 * @param responseMillis the response times of complete requests, in ms
 * @param ratioToIdeal the response times of complete requests, divided by the ideal response time
 * @param refusalMillis the response times of requests with the outcome not-run, in ms
 * @param refusalsPerSecond requests with the outcome not-run per second of the time during which requests are recorded
 * @param reasons the number of results for each outcome and reason
 */
record FlowSummary(
        String flow,
        long sent,
        long complete,
        long failed,
        long notRun,
        long unknown,
        long unreached,
        long lost,
        long noAnswer,
        long wrong,
        long notSent,
        long resubmitted,
        long contradictions,
        Percentiles responseMillis,
        Percentiles ratioToIdeal,
        Percentiles refusalMillis,
        double refusalsPerSecond,
        Map<String, Long> reasons) {}
