import java.nio.file.Path;

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    /** Added to the exit code, so that a Java program that can't start isn't taken for a broken rule. */
    private static final int EXIT_BASE = 10;
    /** What a check allows beyond a bound, for the time in which an end is listed and recorded. */
    static final int NOTICE_MILLIS = 100;

    private Case() {}

    /** What happens in a case, on a site that is ready. */
    interface Play {
        int run(Site site, Record record, boolean trouble) throws Exception;
    }

    /** Runs a case and ends this program; the arguments are the project's root and the file of the record. */
    static void run(String[] arguments, int entries, int agents, boolean relayed, Play play) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = NOT_RUN;
        try {
            Record record = new Record(Path.of(arguments[1]));
            try (Site site = new Site(Path.of(arguments[0]), record, entries, agents, relayed)) {
                code = site.start() ? play.run(site, record, trouble) : NOT_RUN;
                if (!site.allRun()) {
                    record.line("a program has ended by itself");
                }
            }
            record.line(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "the case couldn't run");
        } catch (Exception | Error e) {
            e.printStackTrace();
            code = NOT_RUN;
        }
        Runtime.getRuntime().halt(EXIT_BASE + code);
    }

    /** Records the runs of a job that go on after a time; returns how many. */
    static int runsAfter(Record record, String job, long millis, String what) {
        int count = 0;
        for (Record.Run run : record.runs(job)) {
            if (run.endMillis > millis + NOTICE_MILLIS && record.now() > millis + NOTICE_MILLIS) {
                record.line(what + ": " + run);
                count++;
            }
        }
        return count;
    }
}
