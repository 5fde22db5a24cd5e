package org.knapweedmount.standins.soak;

/**
 * What a worker has to know of a task; it travels as the {@code spec} of the job.
 *
 * @param runMillis how long the task runs on a worker that is not slow, in ms
 * @param milliCores the capacity that it takes, in thousandths of a core
 */
record TaskSpec(int runMillis, int milliCores) {
    static TaskSpec parse(String text) {
        String[] parts = text.split("/", -1);
        return new TaskSpec(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
    }

    String text() {
        return runMillis + "/" + milliCores;
    }
}
