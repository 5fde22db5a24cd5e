import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * An entry is cut off from the other one; then half of its connections are reset: those of two of each four clients, and
 * one of two to agents. The clients whose connections are reset send their jobs again after resendMs, to the other entry.
 */
final class TwoRuns {
    private static final int JOBS = 12;
    private static final int RESEND_MILLIS = 1_300;
    private static final int CUT_AFTER_RESEND_MILLIS = 2_500;

    private TwoRuns() {}

    public static void main(String[] arguments) {
        Case.run(arguments, 2, 2, true, TwoRuns::play);
    }

    private static int play(Site site, Record record, boolean trouble) throws Exception {
        Thread.sleep(3_000); // links that are older than 5 s are dialled again at once
        String body = Site.job(1, 1_000, 5_000);
        if (trouble) {
            cut(site, true);
            record.line("entry-1 is cut off from entry-2");
        }
        List<String> ids = new ArrayList<>();
        List<Socket> posts = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            ids.add(String.format("%016x", System.nanoTime()));
            posts.add(site.post(1, Site.PREFIX + ids.get(i), body, 10_000));
        }
        for (String id : ids) {
            if (!site.awaitStarts(id, 1, 2_000)) {
                return Case.NOT_RUN;
            }
        }
        if (trouble) {
            Thread.sleep(200);
            int count = site.relays.get(0).reset("agent-1");
            for (int i = 0; i < JOBS; i++) {
                if (isReset(i)) {
                    posts.get(i).setSoLinger(true, 0);
                    posts.get(i).close();
                }
            }
            record.line("reset of " + count + " of the 2 connections of entry-1 to agents, and of " + JOBS / 2 + " of "
                    + JOBS + " to clients");
            Thread.sleep(RESEND_MILLIS);
            for (int i = 0; i < JOBS; i++) {
                if (isReset(i)) {
                    posts.set(i, site.post(2, Site.PREFIX + ids.get(i), body, 10_000));
                }
            }
            Thread.sleep(CUT_AFTER_RESEND_MILLIS);
            cut(site, false);
            record.line("entry-1 and entry-2 reach each other again");
        }
        for (int i = 0; i < JOBS; i++) {
            record.line("POST of " + ids.get(i) + " answered " + Http.receive(posts.get(i), 11_000));
        }
        boolean found = false;
        for (String id : ids) {
            found |= overlaps(record, id);
        }
        return found ? Case.BROKEN : Case.HELD;
    }

    /** Returns whether a client's connection is reset: two of each four, as jobs go to the agents by turns. */
    private static boolean isReset(int client) {
        return client % 4 < 2;
    }

    private static void cut(Site site, boolean dropped) throws Exception {
        site.relays.get(0).cut("entry-2", dropped);
        site.relays.get(1).cut("entry-1", dropped);
    }

    private static boolean overlaps(Record record, String id) {
        List<Record.Run> runs = record.runs(id);
        boolean found = false;
        for (int i = 0; i < runs.size(); i++) {
            for (int j = i + 1; j < runs.size(); j++) {
                Record.Run one = runs.get(i);
                Record.Run other = runs.get(j);
                long overlap =
                        Math.min(one.endMillis, other.endMillis) - Math.max(one.startMillis, other.startMillis);
                if (one.task.equals(other.task) && overlap > 0) {
                    record.line("two runs for " + overlap + " ms at the same time: " + one + "; " + other);
                    found = true;
                }
            }
        }
        return found;
    }
}
