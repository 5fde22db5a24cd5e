import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Jobs are cancelled one after the other, and meanwhile half of the connections between an entry and agents are reset. */
final class CancelDuringReset {
    private static final int JOBS = 40;
    private static final int CANCEL_INTERVAL_MILLIS = 4;
    private static final int RESET_AT_JOB = 20;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int CANCEL_MILLIS = 3_000;
    private static final int STOP_MILLIS = 50;

    private CancelDuringReset() {}

    public static void main(String[] arguments) {
        Case.run(arguments, 2, 4, true, CancelDuringReset::play);
    }

    private static int play(Site site, Record record, boolean trouble) throws Exception {
        Thread.sleep(3_000); // links that are older than 5 s are dialled again at once
        List<String> ids = new ArrayList<>();
        List<Socket> posts = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", System.nanoTime());
            ids.add(id);
            posts.add(site.post(1, Site.PREFIX + id, Site.job(2, 400, 14_000), 30_000));
            if (!site.awaitStarts(id, 2, 3_000)) {
                return Case.NOT_RUN;
            }
        }
        Thread.sleep(500);
        long[] acknowledged = new long[JOBS];
        for (int i = 0; i < JOBS; i++) {
            if (trouble && i == RESET_AT_JOB) {
                int count = site.relays.get(0).reset("agent-1") + site.relays.get(0).reset("agent-2");
                record.line("reset of " + count + " of the 4 connections between entry-1 and agents");
            }
            if (site.delete(1, Site.PREFIX + ids.get(i)).status() != 200) {
                return Case.NOT_RUN;
            }
            acknowledged[i] = record.now();
            Thread.sleep(CANCEL_INTERVAL_MILLIS);
        }
        Thread.sleep(CONTACT_MILLIS + CANCEL_MILLIS + STOP_MILLIS + 2 * Case.NOTICE_MILLIS);
        int late = 0;
        for (int i = 0; i < JOBS; i++) {
            late += Case.runsAfter(
                    record,
                    ids.get(i),
                    record.now() - 2 * Case.NOTICE_MILLIS,
                    "runs on " + (record.now() - acknowledged[i]) + " ms after the cancelling was acknowledged");
        }
        posts.forEach(CancelDuringReset::close);
        return late == 0 ? Case.HELD : Case.BROKEN;
    }

    private static void close(Socket post) {
        try {
            post.close();
        } catch (IOException e) {
            // It has been closed before.
        }
    }
}
