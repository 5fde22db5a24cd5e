package org.knapweedmount.core.dispatch;

/** Why an entry considers a run as lost without a result. */
enum LossCause {
    /** The agent's list of its runs on a new link does not contain it. */
    NEW_LINK,
    /** The agent was silent for so long that the run must have ended. */
    AGENT_SILENT,
    /** A later incarnation of the agent has reported that its worker accepts starts. */
    AGENT_REPLACED
}
