import java.net.Socket;

/** A cancelled job's POST is answered with 504, and after resendMs the request arrives again, as the pages say. */
final class CancelThenResend {
    private static final int RESEND_MILLIS = 1_300;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int CANCEL_MILLIS = 3_000;
    private static final int STOP_MILLIS = 50;

    private CancelThenResend() {}

    public static void main(String[] arguments) {
        Case.run(arguments, 2, 3, false, CancelThenResend::play);
    }

    private static int play(Site site, Record record, boolean trouble) throws Exception {
        String id = String.format("%016x", System.nanoTime());
        String path = Site.PREFIX + id;
        String body = Site.job(4, 1_600, 10_000);
        Socket post = site.post(1, path, body, 20_000);
        if (!site.awaitStarts(id, 4, 3_000)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(500);
        if (site.delete(1, path).status() != 200) {
            return Case.NOT_RUN;
        }
        long acknowledged = record.now();
        int status = Http.receive(post, 3_000).status();
        record.line("POST answered " + status);
        if (trouble && status == 504) {
            Thread.sleep(acknowledged + RESEND_MILLIS - record.now());
            post.close();
            post = site.post(1, path, body, 20_000);
        }
        Thread.sleep(acknowledged + CONTACT_MILLIS + CANCEL_MILLIS + STOP_MILLIS + 2 * Case.NOTICE_MILLIS - record.now());
        int late = Case.runsAfter(
                record,
                id,
                acknowledged + CONTACT_MILLIS + CANCEL_MILLIS + STOP_MILLIS,
                "runs on " + (record.now() - acknowledged) + " ms after the cancelling was acknowledged");
        post.close(); // kept open till here, as an entry cancels the job of a client that has gone
        return late == 0 ? Case.HELD : Case.BROKEN;
    }
}
