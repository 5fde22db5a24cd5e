package org.knapweedmount.standins.load;

/**
 * The answer to a request of the load.
 *
 * @param ending how the request ended
 * @param reason why, in the words of the entry, empty if it gave none
 * @param submission the id of the submission, empty if the entry gave none
 */
record Answer(Ending ending, String reason, String submission) {
    static Answer lost(Throwable error) {
        String name = error.getClass().getSimpleName();
        return new Answer(Ending.LOST, name, "");
    }
}
