import java.nio.file.Path;
import java.util.Locale;
import java.util.Random;

/** Runs a case and ends with 1 if its rule was broken, 0 if it held, 2 if the case could not run. */
final class Harness {
    interface Case {
        /** Returns what broke the rule, or an empty text. */
        String run(Lab lab) throws Exception;
    }

    private static final int LIMIT_MILLIS = 115_000;
    private static final Random RANDOM = new Random();

    private Harness() {}

    /** Returns a new ID of a job. */
    static String id() {
        return String.format(Locale.ROOT, "%016x", RANDOM.nextLong());
    }

    static void run(String[] arguments, int entries, int agents, boolean relayed, Case test) {
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MILLIS);
                System.out.println("the case did not end in time");
                System.exit(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        limit.setDaemon(true);
        limit.start();
        int code = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), entries, agents, relayed)) {
            lab.log("TROUBLE=" + (Lab.trouble() ? 1 : 0));
            String broken = test.run(lab);
            lab.log(broken.isEmpty() ? "the rule held" : "BROKEN: " + broken);
            System.out.println(broken.isEmpty() ? "the rule held" : "BROKEN: " + broken);
            code = broken.isEmpty() ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace(System.out);
        }
        System.exit(code);
    }
}
