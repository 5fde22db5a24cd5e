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
 * @param lost requests without an answer
 * @param wrong requests with an answer that is not whole or not theirs
 * @param resubmitted requests sent a second time through another entry
 * @param contradictions pairs of answers to one submission that can't both be true
 * @param responseMillis the response times of complete requests, in ms
 * @param ratioToIdeal the response times of complete requests, divided by the ideal
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
        long wrong,
        long resubmitted,
        long contradictions,
        Percentiles responseMillis,
        Percentiles ratioToIdeal,
        Map<String, Long> reasons) {}
