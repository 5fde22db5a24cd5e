package org.knapweedmount.core.entry;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Message;

/** Carries out the decisions of {@link EntryCore}; no method blocks or calls back into the core. */
public interface EntryOutput {
    /**
     * Sends a message on the link to an agent or entry; the message is dropped if there is no such link.
     *
     * @param peer the receiver
     * @param message the message
     */
    void send(Incarnation peer, Message message);

    /**
     * Opens a link to an entry of another region; the implementation closes it when it is idle.
     *
     * @param entry the entry
     */
    void connect(PeerAddress entry);

    /**
     * Answers a caller's request; called exactly once for each request.
     *
     * @param request the number that the request was given on receipt
     * @param answer the answer
     */
    void answer(long request, JobAnswer answer);

    /**
     * Claims an idempotency key by one conditional write; the result is passed to {@link EntryCore#claimCompleted}.
     *
     * @param key the team and the idempotency key, which together are claimed once
     * @param proposed the ID to bind the key to unless it is already bound to another
     */
    void claim(String key, SubmissionId proposed);

    /**
     * Reads the ID that an idempotency key is bound to, without a claim; the result is passed to
     * {@link EntryCore#lookUpCompleted}.
     *
     * @param key the team and the idempotency key
     */
    void lookUp(String key);
}
