package org.knapweedmount.standins.audit;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * A run of a task, from the lines of its agent.
 *
 * <p>It can have lived from its start order until the end that the evidence of its release allows, and certainly lived
 * from the first confirmation until the worker was last asked for a list that contains it. All times are in µs.
 */
final class LoggedRun {
    /** How much longer a lease may last than its rest by the worker's clock, which is up to 2% slow. */
    private static final double SLOW_CLOCK_FACTOR = 1 / 0.98;

    /** How long a worker takes to end a run, in ms. */
    private static final long STOP_MILLIS = 50;

    /** The longest lease of a worker, in ms. */
    private static final long MAX_LEASE_MILLIS = 1_000;

    /** The longest time between an unlogged extension of the lease and the last line that tells the lease, in ms. */
    private static final long LEASE_LINE_INTERVAL_MILLIS = 240;

    /** How many numbers follow the job's ID in the name of a task. */
    private static final int TASK_NAME_NUMBERS = 3;

    private final String agent;
    private final String ref;
    private final LogGroup start;
    private OptionalLong confirmed = OptionalLong.empty();
    private OptionalLong lastAlive = OptionalLong.empty();
    private OptionalLong lastForeign = OptionalLong.empty();
    private OptionalLong released = OptionalLong.empty();
    private OptionalLong leaseEnd = OptionalLong.empty();
    private String evidence = "NONE";
    private String outcome = "?";
    private String order = "no line of the entry";

    /**
     * Creates a run.
     *
     * @param agent the process name of the agent
     * @param ref the task's name and the number of the run, separated by a number sign
     * @param start the circumstances of the accepted order
     */
    LoggedRun(String agent, String ref, LogGroup start) {
        this.agent = agent;
        this.ref = ref;
        this.start = start;
        recordLease(start);
    }

    String agent() {
        return agent;
    }

    String ref() {
        return ref;
    }

    String task() {
        return ref.substring(0, ref.indexOf('#'));
    }

    /** Returns the job's ID: the name of a task ends with three numbers. */
    String job() {
        String job = task();
        for (int part = 0; part < TASK_NAME_NUMBERS; part++) {
            job = job.substring(0, Math.max(0, job.lastIndexOf('.')));
        }
        return job;
    }

    /** Returns the incarnation of the entry that ordered the run, a question mark if no line tells it. */
    String entry() {
        return start.text("entry");
    }

    /** Returns the process name of the entry that ordered the run. */
    String entryProcess() {
        return entry().split("~", 2)[0];
    }

    long orderedMicros() {
        return start.micros();
    }

    boolean isReleased() {
        return released.isPresent();
    }

    String worker() {
        return start.text("worker");
    }

    /** Records what the entry's line tells of the order. */
    void orderedBy(String entryOrder) {
        order = entryOrder;
    }

    /** Records the worker's lease while the run is held. */
    void recordLease(LogGroup lease) {
        leaseEnd = OptionalLong.of(lease.micros() + leaseMicros(lease));
    }

    private static long leaseMicros(LogGroup lease) {
        long restMillis = Math.max(0, Math.min(MAX_LEASE_MILLIS, lease.millis("granted") - lease.millis("clock")));
        return (long) (restMillis * SLOW_CLOCK_FACTOR * TimeUnit.MILLISECONDS.toMicros(1)) + micros(STOP_MILLIS);
    }

    private static long micros(long millis) {
        return TimeUnit.MILLISECONDS.toMicros(millis);
    }

    /** Records the release, with the ms since the first confirmation and the last sign of life, "-" if there is none. */
    void release(LogGroup release, String confirmedAgo, String aliveAgo) {
        released = OptionalLong.of(release.micros());
        evidence = release.text("evidence");
        outcome = release.text("outcome");
        confirmed = ago(release, confirmedAgo);
        lastAlive = ago(release, aliveAgo);
        recordLease(release);
    }

    private static OptionalLong ago(LogGroup release, String millis) {
        return millis.equals("-")
                ? OptionalLong.empty()
                : OptionalLong.of(release.micros() - micros(Long.parseLong(millis)));
    }

    /** Records that the worker listed the run although the agent did not hold it. */
    void seenForeign(long micros) {
        lastForeign = OptionalLong.of(micros);
        confirmed = confirmed.isPresent() ? confirmed : lastForeign;
        lastAlive = lastForeign;
    }

    /** Returns whether the worker certainly did not start the run. */
    boolean neverStarted() {
        return lastForeign.isEmpty() && evidence.equals("START_REPLY");
    }

    /** Returns whether the run certainly existed. */
    boolean existed() {
        boolean endedItself = outcome.equals("DONE") || outcome.equals("FAILED");
        return confirmed.isPresent() || (evidence.equals("LISTED") && endedItself);
    }

    /** Returns the last moment at which the run can have lived. */
    long endMicros() {
        return Math.max(releasedEndMicros(), lastForeign.orElse(Long.MIN_VALUE));
    }

    private long releasedEndMicros() {
        if (released.isEmpty()) {
            return leaseEnd.getAsLong() + micros(LEASE_LINE_INTERVAL_MILLIS);
        }
        return switch (evidence) {
            case "NEW_INCARNATION", "STOP_REPLY" ->
                confirmed.isPresent()
                        ? released.getAsLong()
                        : released.getAsLong() + micros(MAX_LEASE_MILLIS + STOP_MILLIS);
            default -> released.getAsLong();
        };
    }

    private boolean hasAliveWindow() {
        return confirmed.isPresent() && lastAlive.isPresent() && confirmed.getAsLong() <= lastAlive.getAsLong();
    }

    /** Returns whether two runs can have lived at the same time. */
    boolean mayOverlap(LoggedRun other) {
        return orderedMicros() < other.endMicros() && other.orderedMicros() < endMicros();
    }

    /** Returns whether two runs certainly lived at the same time. */
    boolean certainlyOverlaps(LoggedRun other) {
        boolean bothAlive = hasAliveWindow()
                && other.hasAliveWindow()
                && confirmed.getAsLong() <= other.lastAlive.getAsLong()
                && other.confirmed.getAsLong() <= lastAlive.getAsLong();
        return bothAlive || livedThroughout(other) || other.livedThroughout(this);
    }

    private boolean livedThroughout(LoggedRun other) {
        return hasAliveWindow()
                && other.existed()
                && confirmed.getAsLong() <= other.orderedMicros()
                && other.endMicros() <= lastAlive.getAsLong();
    }

    /** Describes the run in one line. */
    String describe() {
        return ref + " at agent " + agent + ", worker " + worker() + ", entry " + entry()
                + ": accepted " + LogLine.format(orderedMicros()) + " (timestamp age " + start.text("age")
                + " ms, expiry of the start " + start.text("expiry") + ", latest granted " + start.text("granted")
                + " at worker clock " + start.text("clock") + "), alive " + format(confirmed) + " to "
                + format(lastAlive) + ", released " + format(released) + " by " + evidence + " as " + outcome
                + ", last seen as foreign " + format(lastForeign) + ", ended at the latest "
                + LogLine.format(endMicros()) + "; order: " + order;
    }

    private static String format(OptionalLong micros) {
        return micros.isPresent() ? LogLine.format(micros.getAsLong()) : "-";
    }
}
