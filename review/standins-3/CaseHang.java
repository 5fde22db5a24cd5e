import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** A job whose steps each name all earlier ones in `after`. */
final class CaseHang {
    private static final int STEPS = 20;
    private static final int LARGE_WIDTH = 100;
    private static final int SMALL_WIDTH = 10;

    private CaseHang() {}

    public static void main(String[] arguments) {
        Harness.run(arguments, 3, 4, false, CaseHang::run);
    }

    private static String run(Lab lab) throws Exception {
        lab.writeConfig(3, "/dues/");
        lab.startAll();
        Lab.sleep(3_000);
        String id = Harness.id();
        List<Object> steps = new ArrayList<>();
        int[] cpus = new int[STEPS];
        int width = Lab.trouble() ? LARGE_WIDTH : SMALL_WIDTH;
        for (int step = 0; step < STEPS; step++) {
            var fields = Json.object("count", width, "cpu", 10, "memMb", 16, "estimateMs", 500, "affinity", "r1-1");
            if (step > 0) {
                fields.put("after", IntStream.range(0, step).boxed().map(i -> (Object) i).toList());
            }
            steps.add(fields);
            cpus[step] = 10;
        }
        String body = Json.write(Json.object("spec", "=400", "bestEffort", true, "steps", steps));
        lab.log("body of " + body.length() + " bytes");
        lab.expect(id, cpus);
        Thread submission = new Thread(() -> lab.submit(1, "/dues/" + id, body, 25_000, ""));
        submission.start();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        long end = lab.millis() + 26_000;
        Thread others = new Thread(() -> submitSmallJobs(lab, submission, answered, unanswered));
        others.start();
        long longest = 0;
        while (lab.millis() < end && submission.isAlive()) {
            long sent = lab.millis();
            Http.Answer answer = Http.call(lab.entryHost(1), Lab.READY_PORT, "GET", "/api/ready", Map.of(), null, 30_000);
            long took = lab.millis() - sent;
            longest = Math.max(longest, took);
            if (took > 200) {
                lab.log("edge-1 answered the question whether it is ready after " + took + " ms: " + answer);
            }
            Lab.sleep(100);
        }
        others.join(5_000);
        lab.log("longest time without an answer " + longest + " ms; of the small jobs " + answered
                + " were answered with 200, " + unanswered + " got no answer");
        return longest > 3_000
                ? "edge-1 answered nothing for " + longest + " ms; " + unanswered + " small jobs of another client got no answer"
                : "";
    }

    /** Submits small jobs of another client, which need none of the room that the large job uses. */
    private static void submitSmallJobs(Lab lab, Thread submission, AtomicInteger answered, AtomicInteger unanswered) {
        try {
            while (submission.isAlive()) {
                String id = Harness.id();
                lab.expect(id, 100);
                var step = Json.object("count", 1, "cpu", 100, "memMb", 16, "estimateMs", 100, "requires", "r1-2");
                String body = Json.write(Json.object("spec", "100", "bestEffort", true, "steps", List.of(step)));
                Http.Answer answer = lab.submit(1, "/dues/" + id, body, 1_500, "");
                if (answer.status == 200) {
                    answered.incrementAndGet();
                } else if (answer.status == 0) {
                    unanswered.incrementAndGet();
                }
                Lab.sleep(300);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
