import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.IntStream;

/** A large job of many single tasks and one wide step, whose `after` names all of these. */
final class CaseHang {
    private static final int SINGLE_TASKS = 100;
    private static final int WIDE_TASKS = 1_800;
    private static final int SMALL_FACTOR = 10;
    private static final int LARGE_DEADLINE_MILLIS = 5_000;
    private static final int SMALL_DEADLINE_MILLIS = 1_500;
    private static final int RESEND_MILLIS = 1_300;
    private static final int HANG_MILLIS = 10_000;
    private static final int WATCH_MILLIS = 45_000;
    private static final int ENTRIES = 3;

    private CaseHang() {}

    public static void main(String[] arguments) {
        Harness.run(arguments, ENTRIES, 4, false, CaseHang::run);
    }

    private static String run(Lab lab) throws Exception {
        lab.writeConfig(3, "/dues/");
        lab.startAll();
        Lab.sleep(3_000);
        String id = Harness.id();
        String body = body(lab, id, Lab.trouble() ? 1 : SMALL_FACTOR);
        lab.log("body of " + body.length() + " bytes");
        long end = lab.millis() + (Lab.trouble() ? WATCH_MILLIS : WATCH_MILLIS / 3);
        List<Thread> threads = new ArrayList<>();
        threads.add(new Thread(() -> submitLargeJob(lab, id, body)));
        AtomicLongArray longest = new AtomicLongArray(ENTRIES + 1);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        for (int i = 1; i <= ENTRIES; i++) {
            int entry = i;
            threads.add(new Thread(() -> askWhetherReady(lab, entry, end, longest)));
            threads.add(new Thread(() -> submitSmallJobs(lab, entry, end, answered, unanswered)));
        }
        for (Thread thread : threads) {
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        lab.requireStarted(id);
        lab.log("of the small jobs " + answered + " were answered with 200, " + unanswered + " got no answer");
        List<String> hung = new ArrayList<>();
        for (int entry = 1; entry <= ENTRIES; entry++) {
            lab.log("edge-" + entry + ": longest time without an answer " + longest.get(entry) + " ms");
            if (longest.get(entry) > HANG_MILLIS) {
                hung.add("edge-" + entry + " answered nothing for at least " + longest.get(entry) + " ms");
            }
        }
        return hung.isEmpty() ? "" : String.join(", ", hung) + "; " + unanswered + " small jobs got no answer";
    }

    private static String body(Lab lab, String id, int factor) {
        int singles = SINGLE_TASKS / factor;
        List<Object> steps = new ArrayList<>();
        for (int step = 0; step < singles; step++) {
            steps.add(Json.object("count", 1, "cpu", 10, "memMb", 16, "estimateMs", 500, "affinity", "r1-1"));
        }
        steps.add(Json.object(
                "count", WIDE_TASKS / factor,
                "cpu", 10,
                "memMb", 16,
                "estimateMs", 400,
                "after", IntStream.range(0, singles).boxed().map(i -> (Object) i).toList()));
        int[] cpus = new int[singles + 1];
        Arrays.fill(cpus, 10);
        lab.expect(id, cpus);
        return Json.write(Json.object("spec", "=400", Names.NOT_STORED, true, "steps", steps));
    }

    /** Submits the job, and again at the next entry as long as there is no final answer. */
    private static void submitLargeJob(Lab lab, String id, String body) {
        try {
            for (int entry = 1; entry <= ENTRIES; entry++) {
                int status = lab.submit(entry, "/dues/" + id, body, LARGE_DEADLINE_MILLIS, "").status;
                if (status != 0 && status != 502 && status != 504) {
                    return;
                }
                Lab.sleep(RESEND_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void askWhetherReady(Lab lab, int entry, long end, AtomicLongArray longest) {
        try {
            while (lab.millis() < end) {
                long sent = lab.millis();
                int timeout = (int) Math.max(1, end - sent);
                Http.Answer answer =
                        Http.call(lab.entryHost(entry), Lab.READY_PORT, "GET", "/api/ready", Map.of(), null, timeout);
                long took = lab.millis() - sent;
                longest.accumulateAndGet(entry, took, Math::max);
                if (took > 200) {
                    lab.log("edge-" + entry + " was asked whether it is ready; after " + took + " ms: " + answer);
                }
                Lab.sleep(100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Submits small jobs of other clients. */
    private static void submitSmallJobs(
            Lab lab, int entry, long end, AtomicInteger answered, AtomicInteger unanswered) {
        try {
            while (lab.millis() < end) {
                String id = Harness.id();
                lab.expect(id, 100);
                var step = Json.object("count", 1, "cpu", 100, "memMb", 16, "estimateMs", 100);
                String body = Json.write(Json.object("spec", "100", Names.NOT_STORED, true, "steps", List.of(step)));
                Http.Answer answer = lab.submit(entry, "/dues/" + id, body, SMALL_DEADLINE_MILLIS, "");
                if (answer.status == 200) {
                    answered.incrementAndGet();
                } else if (answer.status == 0) {
                    unanswered.incrementAndGet();
                }
                Lab.sleep(500);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
