import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run to a file, and keeps the runs for the check. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();
    private final List<Run> runs = new ArrayList<>();

    /** A run of a task; the end is Long.MAX_VALUE while it runs. */
    static final class Run {
        final String executor;
        final String task;
        final int number;
        final String spec;
        final long startMillis;
        long endMillis = Long.MAX_VALUE;
        String how = "running";

        Run(String executor, String task, int number, String spec, long startMillis) {
            this.executor = executor;
            this.task = task;
            this.number = number;
            this.spec = spec;
            this.startMillis = startMillis;
        }

        @Override
        public String toString() {
            return task + " run " + number + " at " + executor + " from " + startMillis + " ms to "
                    + (endMillis == Long.MAX_VALUE ? "now" : endMillis + " ms") + ", " + how;
        }
    }

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(now() + " ms " + text);
    }

    synchronized void started(String executor, String task, int number, String spec) {
        runs.add(new Run(executor, task, number, spec, now()));
        line("run starts: " + task + " run " + number + " at " + executor + " spec " + spec);
    }

    synchronized void ended(String executor, String task, int number, String how) {
        for (Run run : runs) {
            if (run.executor.equals(executor) && run.task.equals(task) && run.number == number
                    && run.endMillis == Long.MAX_VALUE) {
                run.endMillis = now();
                run.how = how;
            }
        }
        line("run ends: " + task + " run " + number + " at " + executor + " " + how);
    }

    /** Returns the runs of a job's tasks. */
    synchronized List<Run> runs(String job) {
        return runs.stream().filter(run -> run.task.startsWith(job)).toList();
    }

    synchronized List<Run> all() {
        return List.copyOf(runs);
    }
}
