package org.knapweedmount.standins.soak;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import org.tinylog.Logger;

/** Injects the faults of a soak: signals from threads of its own, all else on the event loop. */
final class FaultInjector {
    private static final double SLOW_FACTOR = 6.5;
    private static final double LATE_SHARE = 0.055;
    private static final double LOST_SHARE = 0.025;
    private static final int DRAIN_MILLIS = 2_000;
    private static final double ABANDONED_SHARE = 0.3;
    private static final double BURST_FACTOR = 1.8;
    private static final int CONFIG_SERIES_MILLIS = 400;
    private static final int MIN_DELAY_MILLIS = 10;
    private static final int MAX_DELAY_MILLIS = 250;

    private final SoakSite site;
    private final SoakPrograms programs;
    private final Context context;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    /** A step that sends signals or starts processes. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    FaultInjector(SoakSite site, SoakPrograms programs, Context context) {
        this.site = site;
        this.programs = programs;
        this.context = context;
    }

    /** Schedules faults, counted from now. */
    void schedule(List<Fault> faults) {
        faults.forEach(fault -> after(fault.millis(), () -> inject(fault)));
    }

    private void after(long millis, Step step) {
        context.owner().setTimer(Math.max(1, millis), timer -> {
            if (!threads.isShutdown()) {
                threads.execute(() -> runLogged(step));
            }
        });
    }

    private static void runLogged(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            Logger.error(e, "a fault cannot be injected");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void inject(Fault fault) throws IOException, InterruptedException {
        List<SoakProcess> all = programs.all();
        SoakProcess process = all.get(fault.target() % all.size());
        Logger.info("{} ms: {} {} {} ms", site.nowMillis(), fault.kind(), target(fault), fault.durationMillis());
        switch (fault.kind()) {
            case KILL -> {
                process.kill();
                after(fault.durationMillis(), process::start);
            }
            case PLANNED_STOP -> {
                process.stop(SoakPrograms.GRACE_MILLIS);
                after(fault.durationMillis(), process::start);
            }
            case FREEZE -> {
                process.signal("STOP");
                after(fault.durationMillis(), () -> process.signal("CONT"));
            }
            case KILL_ALL -> {
                for (SoakProcess killed : all) {
                    killed.kill();
                    after(fault.durationMillis(), killed::start);
                }
            }
            default -> context.runOnContext(ignored -> injectOnContext(fault));
        }
    }

    private String target(Fault fault) {
        return switch (fault.kind()) {
            case KILL, PLANNED_STOP, FREEZE, LINK_RESET, LINK_CUT, LINK_SILENCE, LINK_ONE_WAY, LINK_DELAY ->
                programs.all().get(fault.target() % programs.all().size()).name();
            case CALLERS_SILENT, CONNECTIONS_RESET ->
                programs.entries()
                        .get(fault.target() % programs.entries().size())
                        .name();
            case KILL_ALL, CONFIG, ABANDONED, BURST -> "all";
            default -> "worker-" + (1 + fault.target() % site.workers().size());
        };
    }

    private void injectOnContext(Fault fault) {
        SoakWorker worker = site.workers().get(fault.target() % site.workers().size());
        int millis = fault.durationMillis();
        switch (fault.kind()) {
            case CONFIG -> {
                site.writeConfig();
                later(CONFIG_SERIES_MILLIS, site::writeConfig);
            }
            case WORKER_CRASH_SAME_ID, WORKER_CRASH_NEW_ID -> {
                worker.crash();
                boolean sameId = fault.kind() == FaultKind.WORKER_CRASH_SAME_ID;
                later(millis / (sameId ? 2 : 1), () -> worker.begin(sameId));
            }
            case WORKER_LEAVE -> {
                worker.leave(DRAIN_MILLIS, millis / 2);
                later(DRAIN_MILLIS + 2L * millis, () -> worker.begin(false));
            }
            case WORKER_SLOW -> {
                worker.slowDown(SLOW_FACTOR);
                later(millis, () -> worker.slowDown(1));
            }
            case LATE_ORDERS -> loseAnswers(worker, 0, LATE_SHARE, millis);
            case LOST_ANSWERS -> loseAnswers(worker, LOST_SHARE, 0, millis);
            case ABANDONED -> {
                site.callers().abandon(ABANDONED_SHARE);
                later(millis, () -> site.callers().abandon(0));
            }
            case BURST -> {
                site.callers().rate(site.rate() * BURST_FACTOR);
                later(millis, () -> site.callers().rate(site.rate()));
            }
            case CALLERS_SILENT -> {
                int entry = 1 + fault.target() % programs.entries().size();
                site.holdCallers(entry, true);
                later(millis, () -> site.holdCallers(entry, false));
            }
            case CONNECTIONS_RESET -> {
                int entry = 1 + fault.target() % programs.entries().size();
                site.relays().resetHalf("entry-" + entry);
                site.resetHalfOfCallers(entry);
            }
            case LINK_RESET, LINK_CUT, LINK_SILENCE, LINK_ONE_WAY, LINK_DELAY -> injectIntoLinks(fault);
            default -> throw new IllegalArgumentException("fault " + fault.kind() + " concerns processes");
        }
    }

    /** Changes all links of a process, or those to one entry. */
    private void injectIntoLinks(Fault fault) {
        LinkRelays relays = site.relays();
        int count = programs.all().size();
        String process = programs.all().get(fault.target() % count).name();
        int choice = fault.target() / count;
        List<LinkConditions> all = relays.of(process);
        boolean one = choice % 2 == 0 && !all.isEmpty();
        List<LinkConditions> links = one ? List.of(all.get(choice / 2 % all.size())) : all;
        int millis = fault.durationMillis();
        switch (fault.kind()) {
            case LINK_RESET -> relays.reset(process);
            case LINK_CUT -> {
                links.forEach(link -> link.refuse(true));
                relays.reset(process);
                later(millis, () -> links.forEach(link -> link.refuse(false)));
            }
            case LINK_DELAY -> {
                links.forEach(link -> link.delay(MIN_DELAY_MILLIS + fault.target() % MAX_DELAY_MILLIS));
                later(millis, () -> links.forEach(LinkConditions::resetDelay));
            }
            default -> {
                boolean bothWays = fault.kind() == FaultKind.LINK_SILENCE;
                boolean toEntry = choice % 4 < 2;
                links.forEach(link -> link.hold(bothWays || toEntry, bothWays || !toEntry));
                later(millis, () -> {
                    links.forEach(link -> link.hold(false, false));
                    relays.drain();
                });
            }
        }
    }

    private void loseAnswers(SoakWorker worker, double lost, double late, long millis) {
        worker.loseAnswers(lost, late);
        later(millis, () -> worker.loseAnswers(0, 0));
    }

    private void later(long millis, Runnable step) {
        context.owner().setTimer(millis, timer -> step.run());
    }

    /** Injects no further faults, and heals all processes. */
    void close() throws IOException, InterruptedException {
        threads.shutdownNow();
        if (!threads.awaitTermination(2L * SoakPrograms.GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
            Logger.warn("a fault is still being injected");
        }
        for (SoakProcess process : programs.all()) {
            process.signal("CONT");
            process.start();
        }
    }
}
