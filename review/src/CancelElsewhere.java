import java.net.Socket;

/** A job is cancelled at another entry than the one that its open POST waits at. */
final class CancelElsewhere {
    private static final int CONTACT_MILLIS = 3_000;
    private static final int CANCEL_MILLIS = 3_000;
    private static final int STOP_MILLIS = 50;

    private CancelElsewhere() {}

    public static void main(String[] arguments) {
        Case.run(arguments, 3, 3, false, CancelElsewhere::play);
    }

    private static int play(Site site, Record record, boolean trouble) throws Exception {
        String id = String.format("%016x", System.nanoTime());
        Socket post = site.post(1, Site.PREFIX + id, Site.job(4, 1_600, 12_000), 25_000);
        if (!site.awaitStarts(id, 4, 3_000)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(1_000);
        if (trouble) {
            record.line("the client has moved to another zone: its new connections reach entry-2");
        }
        Http.Answer answer = site.delete(trouble ? 2 : 1, Site.PREFIX + id);
        if (answer.status() != 410 && answer.status() / 100 != 2) {
            return Case.NOT_RUN;
        }
        long acknowledged = record.now();
        Thread.sleep(CONTACT_MILLIS + CANCEL_MILLIS + STOP_MILLIS + 2 * Case.NOTICE_MILLIS);
        int late = Case.runsAfter(
                record,
                id,
                acknowledged + CONTACT_MILLIS + CANCEL_MILLIS + STOP_MILLIS,
                "runs on " + (record.now() - acknowledged) + " ms after the cancelling was acknowledged");
        record.line("POST answered " + Http.receive(post, 12_000).status());
        return late == 0 ? Case.HELD : Case.BROKEN;
    }
}
