package org.knapweedmount.core.entry;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Message;

/** Carries out what {@link EntryCore} decides; no method blocks or calls back into the core. */
public interface EntryOutput {
    /**
     * Sends a message on the link to an agent or entry; dropped if there is no such link.
     *
     * @param peer the receiver
     * @param message the message
     */
    void send(Incarnation peer, Message message);

    /**
     * Opens a link to an entry of another region; closed by its owner when it has not been used for a while.
     *
     * @param entry the entry
     */
    void connect(PeerAddress entry);

    /**
     * Answers a caller's request; called exactly once for each request.
     *
     * @param request the number that the request was given when it came in
     * @param answer the answer
     */
    void answer(long request, JobAnswer answer);

    /**
     * Claims a caller's own key by one conditional write; the core is told the result by {@link EntryCore#claimCompleted}.
     *
     * @param key the team and the caller's key, which together are claimed once
     * @param proposed the id that the key is to stand for unless it stands for another already
     */
    void claim(String key, SubmissionId proposed);

    /**
     * Reads what a caller's own key stands for without claiming it; the core is told by {@link EntryCore#lookUpCompleted}.
     *
     * @param key the team and the caller's key
     */
    void lookUp(String key);
}
