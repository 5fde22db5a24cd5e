import java.net.Socket;
import java.util.List;

/** A config removes the route of a running job; then the client cancels the job. */
final class CancelDroppedRoute {
    private static final int CONFIG_APPLY_MILLIS = 2_000;
    private static final int ACK_MILLIS = 4_000;
    private static final int CANCEL_MILLIS = 3_000;
    private static final int STOP_MILLIS = 50;

    private CancelDroppedRoute() {}

    public static void main(String[] arguments) {
        Case.run(arguments, 2, 3, false, CancelDroppedRoute::play);
    }

    private static int play(Site site, Record record, boolean trouble) throws Exception {
        String id = String.format("%016x", System.nanoTime());
        String path = Site.PREFIX + id;
        Socket post = site.post(1, path, Site.job(4, 1_600, 20_000), 40_000);
        if (!site.awaitStarts(id, 4, 3_000)) {
            return Case.NOT_RUN;
        }
        List<Object> routes = trouble
                ? List.of(Site.route("other", "/other/"))
                : List.of(Site.route("jobs", Site.PREFIX), Site.route("other", "/other/"));
        site.store.config(Site.config(9, routes));
        record.line("config 9 is confirmed: " + (trouble ? "the job's route is removed" : "the job's route stays"));
        Thread.sleep(CONFIG_APPLY_MILLIS + 500);
        long sent = record.now();
        long acknowledged = Long.MAX_VALUE;
        while (acknowledged == Long.MAX_VALUE && record.now() - sent < ACK_MILLIS) {
            int status = site.delete(1, path).status();
            if (status == 410 || status / 100 == 2) {
                acknowledged = record.now();
            }
            Thread.sleep(500);
        }
        long from = Math.min(acknowledged, sent + ACK_MILLIS);
        Thread.sleep(from + CANCEL_MILLIS + STOP_MILLIS + 2 * Case.NOTICE_MILLIS - record.now());
        int late = Case.runsAfter(
                record,
                id,
                from + CANCEL_MILLIS + STOP_MILLIS,
                "runs on " + (record.now() - sent) + " ms after the cancelling was sent");
        post.close();
        return late == 0 ? Case.HELD : Case.BROKEN;
    }
}
