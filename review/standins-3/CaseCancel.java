import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A job is cancelled at an entry that is cut off from all other machines of the system. */
final class CaseCancel {
    private static final int CANCEL_MILLIS = 3_000;
    private static final int CUT_MILLIS = 8_000;
    private static final int STEPS = 30;
    private static final int STEP_MILLIS = 300;
    private static final int DEADLINE_MILLIS = 15_000;

    private CaseCancel() {}

    public static void main(String[] arguments) {
        Harness.run(arguments, 3, 4, true, CaseCancel::run);
    }

    private static String run(Lab lab) throws Exception {
        lab.writeConfig(3, "/dues/");
        lab.startAll();
        Lab.sleep(3_000);
        String id = Harness.id();
        List<Object> steps = new ArrayList<>();
        int[] cpus = new int[STEPS];
        for (int step = 0; step < STEPS; step++) {
            var fields = Json.object("count", 1, "cpu", 1_600, "memMb", 64, "estimateMs", STEP_MILLIS);
            if (step > 0) {
                fields.put("after", List.of(step - 1));
            }
            steps.add(fields);
            cpus[step] = 1_600;
        }
        String body = Json.write(Json.object("spec", "" + STEP_MILLIS, Names.NOT_STORED, true, "steps", steps));
        lab.expect(id, cpus);
        List<String> lateStarts = new ArrayList<>();
        AtomicLong acknowledged = new AtomicLong(-1);
        for (Worker worker : lab.workers) {
            worker.listener = new Worker.Listener() {
                @Override
                public void started(Worker at, Worker.Run run, long millis) {
                    long acked = acknowledged.get();
                    if (acked >= 0 && millis > acked + CANCEL_MILLIS) {
                        synchronized (lateStarts) {
                            lateStarts.add(run.name() + " on " + at.id + " " + (millis - acked) + " ms after it");
                        }
                    }
                }
            };
        }
        Thread submission = new Thread(() -> lab.submit(1, "/dues/" + id, body, DEADLINE_MILLIS, ""));
        submission.start();
        long sent = lab.millis();
        lab.sleepUntil(sent + 500);
        if (Lab.trouble()) {
            lab.cut("edge-2", true);
        }
        lab.sleepUntil(sent + 1_500);
        Http.Answer answer = new Http.Answer(0, "not sent");
        while (!isAcknowledged(answer) && lab.millis() < sent + 5_000) {
            answer = lab.cancel(2, "/dues/" + id);
            if (isAcknowledged(answer)) {
                acknowledged.set(lab.millis());
            } else {
                Lab.sleep(250);
            }
        }
        lab.sleepUntil(sent + 500 + CUT_MILLIS);
        if (Lab.trouble()) {
            lab.cut("edge-2", false);
        }
        submission.join(DEADLINE_MILLIS);
        lab.requireStarted(id);
        if (lateStarts.isEmpty()) {
            return "";
        }
        return "UNASKED: the cancelling was acknowledged with " + answer.status + ", and tasks started later: " + lateStarts;
    }

    private static boolean isAcknowledged(Http.Answer answer) {
        return answer.status / 100 == 2 || answer.status == 410;
    }
}
