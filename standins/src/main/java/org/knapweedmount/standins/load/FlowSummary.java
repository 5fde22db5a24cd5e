package org.knapweedmount.standins.load;

import java.util.Map;

/**
 * What became of the requests of one flow, for the report.
 *
 * @param flow the flow's name
 * @param sent requests sent, not counting resubmissions
 * @param complete requests answered in full
 * @param failed requests answered failed
 * @param notRun requests answered not-run
 * @param unknown requests answered unknown
 * @param unreached requests for which no connection could be made
 * @param lost requests whose connection broke or whose time limit passed before an answer came
 * @param noAnswer requests without an answer when the load ended
 * @param wrong requests with an answer that is not whole or not theirs
 * @param notSent requests that were not sent, and are not in {@code sent}, because too many were in flight
 * @param resubmitted requests sent a second time through another entry
 * @param contradictions pairs of answers to one submission that can't both be true
 * @param responseMillis the response times of complete requests, in ms
 * @param ratioToIdeal the response times of complete requests, divided by the ideal
 * @param refusalMillis the response times of requests answered not-run, in ms
 * @param refusalsPerSecond requests answered not-run for each second of the time in which requests are recorded
 * @param reasons how many answers gave which reason
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
