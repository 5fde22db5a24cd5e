package org.knapweedmount.daemon.http;

/** Thrown for a request that is refused before it reaches the decision thread. */
public final class ProblemException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Problem problem;

    /**
     * Creates an exception.
     *
     * @param problem the problem to send
     */
    public ProblemException(Problem problem) {
        super(problem.detail());
        this.problem = problem;
    }

    /**
     * Returns the problem to send.
     *
     * @return the problem
     */
    public Problem problem() {
        return problem;
    }
}
