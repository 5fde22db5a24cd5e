package org.knapweedmount.core.metric;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Checks internal invariants, which are violated only by a bug in the program.
 *
 * <p>A production process counts and reports a violation and continues; a test fails at once.
 */
public final class Invariants {
    private final AtomicLong violations = new AtomicLong();
    private final Consumer<String> onViolation;

    private Invariants(Consumer<String> onViolation) {
        this.onViolation = onViolation;
    }

    /**
     * Creates a checker that counts violations and reports them.
     *
     * @param report receives the statement of each violated invariant
     * @return the checker
     */
    public static Invariants counting(Consumer<String> report) {
        return new Invariants(report);
    }

    /**
     * Creates a checker that throws {@link AssertionError} on a violation.
     *
     * @return the checker
     */
    public static Invariants fatal() {
        return new Invariants(statement -> {
            throw new AssertionError(statement);
        });
    }

    /**
     * Checks an invariant.
     *
     * @param holds whether the invariant holds
     * @param statement the invariant as a statement for log messages
     */
    public void check(boolean holds, String statement) {
        if (holds) {
            return;
        }
        violations.incrementAndGet();
        onViolation.accept(statement);
    }

    /**
     * Returns the number of violations so far.
     *
     * @return the number of violations
     */
    public long violations() {
        return violations.get();
    }
}
