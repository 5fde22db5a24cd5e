package org.knapweedmount.standins.load;

import java.net.ConnectException;

/**
 * The answer to a request of the load.
 *
 * @param ending how the request ended
 * @param reason why, in the words of the entry, empty if it gave none
 * @param submission the id of the submission, empty if the entry gave none
 */
record Answer(Ending ending, String reason, String submission) {
    /** Returns what an error of the connection means. */
    static Answer withoutAnswer(Throwable error) {
        Ending ending = error instanceof ConnectException ? Ending.UNREACHED : Ending.LOST;
        return new Answer(ending, error.getClass().getSimpleName(), "");
    }
}
