package org.knapweedmount.daemon.http;

/** Reports a request that is refused before any decision was asked for. */
public final class ProblemException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Problem problem;

    /**
     * Creates an exception.
     *
     * @param problem what the sender is told
     */
    public ProblemException(Problem problem) {
        super(problem.detail());
        this.problem = problem;
    }

    /**
     * Returns what the sender is told.
     *
     * @return the problem
     */
    public Problem problem() {
        return problem;
    }
}
