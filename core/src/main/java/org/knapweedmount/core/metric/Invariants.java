package org.knapweedmount.core.metric;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Checks statements that hold in a program without faults.
 *
 * <p>A production process counts a violation and goes on, a test ends at once.
 */
public final class Invariants {
    private final AtomicLong violations = new AtomicLong();
    private final Consumer<String> onViolation;

    private Invariants(Consumer<String> onViolation) {
        this.onViolation = onViolation;
    }

    /**
     * Creates checks that count violations and report them.
     *
     * @param report receives the statement that did not hold
     * @return the checks
     */
    public static Invariants counting(Consumer<String> report) {
        return new Invariants(report);
    }

    /**
     * Creates checks that throw {@link AssertionError} on a violation.
     *
     * @return the checks
     */
    public static Invariants fatal() {
        return new Invariants(statement -> {
            throw new AssertionError(statement);
        });
    }

    /**
     * Checks a statement.
     *
     * @param holds whether the statement holds
     * @param statement the statement, fit to be read in a log
     */
    public void check(boolean holds, String statement) {
        if (holds) {
            return;
        }
        violations.incrementAndGet();
        onViolation.accept(statement);
    }

    /**
     * Counts the violations.
     *
     * @return the number of statements that did not hold so far
     */
    public long violations() {
        return violations.get();
    }
}
