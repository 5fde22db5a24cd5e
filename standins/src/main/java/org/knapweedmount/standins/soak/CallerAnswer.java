package org.knapweedmount.standins.soak;

/** What the caller of a job was told by one attempt. */
enum CallerAnswer {
    /** Status 200 with state completed. */
    COMPLETED,
    /** Status 200 with state failed. */
    FAILED,
    /** Status 404, 429 or 503: the job is not accepted and never runs. */
    NOT_RUN,
    /** Status 410: the job is cancelled. */
    CANCELLED,
    /** No answer, a broken connection or status 502 or 504: the job is sent again. */
    NONE;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    static CallerAnswer of(int status, String state) {
        return switch (status) {
            case OK -> state.equals("completed") ? COMPLETED : FAILED;
            case NOT_FOUND, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> NOT_RUN;
            case GONE -> CANCELLED;
            default -> NONE;
        };
    }
}
