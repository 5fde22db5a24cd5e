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
    private static final int THROTTLE_PAUSE_MILLIS = 60;
    private static final int THROTTLE_RUN_MILLIS = 40;
    private static final int STARVE_PAUSE_MILLIS = 145;
    private static final int STARVE_RUN_MILLIS = 5;
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
        String target = fault.kind().target().name(fault.target(), programs);
        Logger.info("{} ms: {} {} {} ms", site.nowMillis(), fault.kind(), target, fault.durationMillis());
        fault.kind().inject(this, fault);
    }

    private SoakProcess process(Fault fault) {
        return programs.all().get(fault.target() % programs.all().size());
    }

    private SoakProcess agent(Fault fault) {
        return programs.agents().get(fault.target() % programs.agents().size());
    }

    private WorkerPlace place(Fault fault) {
        return site.places().get(fault.target() % site.places().size());
    }

    private int entry(Fault fault) {
        return 1 + fault.target() % programs.entries().size();
    }

    private void onContext(Runnable step) {
        context.runOnContext(ignored -> step.run());
    }

    void kill(Fault fault) throws InterruptedException {
        kill(process(fault), fault.durationMillis());
    }

    private void kill(SoakProcess process, int millis) throws InterruptedException {
        process.kill();
        after(millis, process::start);
    }

    void plannedStop(Fault fault) throws InterruptedException {
        SoakProcess process = process(fault);
        onContext(() -> site.stops().signalled(process.name(), site.nowMillis()));
        process.stop(SoakPrograms.GRACE_MILLIS);
        after(fault.durationMillis(), () -> {
            onContext(() -> site.stops().started(process.name()));
            process.start();
        });
    }

    void throttle(Fault fault) throws IOException, InterruptedException {
        process(fault).throttle(THROTTLE_PAUSE_MILLIS, THROTTLE_RUN_MILLIS, fault.durationMillis());
    }

    void starve(Fault fault) throws IOException, InterruptedException {
        int entry = entry(fault);
        onContext(() -> site.starvedEntries().begin(entry, site.nowMillis()));
        programs.entries().get(entry - 1).throttle(STARVE_PAUSE_MILLIS, STARVE_RUN_MILLIS, fault.durationMillis());
        onContext(() -> site.starvedEntries().end(entry, site.nowMillis()));
    }

    void freeze(Fault fault) throws IOException, InterruptedException {
        freeze(process(fault), fault.durationMillis());
    }

    private void freeze(SoakProcess process, int millis) throws IOException, InterruptedException {
        onContext(() -> site.stops().paused(process.name(), site.nowMillis()));
        process.signal("STOP");
        after(millis, () -> {
            process.signal("CONT");
            onContext(() -> site.stops().resumed(process.name(), site.nowMillis()));
        });
    }

    void killAll(Fault fault) throws InterruptedException {
        for (SoakProcess killed : programs.all()) {
            kill(killed, fault.durationMillis());
        }
    }

    void killAfterOrder(Fault fault) {
        afterNextOrder(fault, () -> kill(agent(fault), fault.durationMillis()));
    }

    void freezeAfterOrder(Fault fault) {
        afterNextOrder(fault, () -> freeze(agent(fault), fault.durationMillis()));
    }

    private void afterNextOrder(Fault fault, Step step) {
        onContext(() -> place(fault).worker().onNextStart(() -> after(0, step)));
    }

    void writeConfigs(Fault fault) {
        onContext(() -> {
            site.writeConfig();
            later(CONFIG_SERIES_MILLIS, site::writeConfig);
        });
    }

    /** Closes the data centre of an agent, and reopens it after the fault's time. */
    void evacuate(Fault fault) {
        String dataCentre =
                SoakPrograms.dataCentre(1 + fault.target() % programs.agents().size());
        onContext(() -> {
            site.closeDataCentre(dataCentre);
            later(fault.durationMillis(), () -> site.reopenDataCentre(dataCentre));
        });
    }

    void crashWorker(Fault fault, boolean sameId) {
        onContext(() -> {
            SoakWorker worker = place(fault).worker();
            worker.crash();
            later(fault.durationMillis() / (sameId ? 2 : 1), () -> worker.begin(sameId));
        });
    }

    void leave(Fault fault) {
        onContext(() -> {
            SoakWorker worker = place(fault).worker();
            worker.leave(DRAIN_MILLIS, fault.durationMillis() / 2);
            later(DRAIN_MILLIS + 2L * fault.durationMillis(), () -> worker.begin(false));
        });
    }

    void replaceWorker(Fault fault) {
        onContext(() -> place(fault).replace(fault.durationMillis()));
    }

    void slowDown(Fault fault) {
        onContext(() -> {
            SoakWorker worker = place(fault).worker();
            worker.slowDown(SLOW_FACTOR);
            later(fault.durationMillis(), () -> worker.slowDown(1));
        });
    }

    void executeLate(Fault fault) {
        loseAnswers(fault, 0, LATE_SHARE);
    }

    void loseAnswers(Fault fault) {
        loseAnswers(fault, LOST_SHARE, 0);
    }

    private void loseAnswers(Fault fault, double lost, double late) {
        onContext(() -> {
            SoakWorker worker = place(fault).worker();
            worker.loseAnswers(lost, late);
            later(fault.durationMillis(), () -> worker.loseAnswers(0, 0));
        });
    }

    void abandon(Fault fault) {
        onContext(() -> {
            site.callers().abandon(ABANDONED_SHARE);
            later(fault.durationMillis(), () -> site.callers().abandon(0));
        });
    }

    void burst(Fault fault) {
        onContext(() -> {
            site.callers().rate(site.rate() * BURST_FACTOR);
            later(fault.durationMillis(), () -> site.callers().rate(site.rate()));
        });
    }

    void silenceCallers(Fault fault) {
        onContext(() -> {
            site.holdCallers(entry(fault), true);
            later(fault.durationMillis(), () -> site.holdCallers(entry(fault), false));
        });
    }

    void resetConnections(Fault fault) {
        onContext(() -> {
            site.relays().resetHalf("entry-" + entry(fault));
            site.resetHalfOfCallers(entry(fault));
        });
    }

    void resetCallers(Fault fault) {
        onContext(() -> site.resetCallers(entry(fault), fault.durationMillis()));
    }

    /** Returns the conditions of all links of a process, or of those to one entry. */
    private List<LinkConditions> links(Fault fault) {
        List<LinkConditions> all = site.relays().of(process(fault).name());
        int choice = choice(fault);
        boolean one = choice % 2 == 0 && !all.isEmpty();
        return one ? List.of(all.get(choice / 2 % all.size())) : all;
    }

    private int choice(Fault fault) {
        return fault.target() / programs.all().size();
    }

    void resetLinks(Fault fault) {
        onContext(() -> site.relays().reset(process(fault).name()));
    }

    void cutLinks(Fault fault) {
        onContext(() -> {
            refuse(links(fault), fault.durationMillis());
            site.relays().reset(process(fault).name());
        });
    }

    void cutEntries(Fault fault) {
        onContext(() -> {
            EntryLinks links = EntryLinks.of(fault.target(), programs.entries().size());
            refuse(links.conditions(site.relays()), fault.durationMillis());
            links.reset(site.relays());
        });
    }

    private void refuse(List<LinkConditions> links, int millis) {
        links.forEach(link -> link.refuse(true));
        later(millis, () -> links.forEach(link -> link.refuse(false)));
    }

    void delayLinks(Fault fault) {
        onContext(() -> {
            List<LinkConditions> links = links(fault);
            links.forEach(link -> link.delay(MIN_DELAY_MILLIS + fault.target() % MAX_DELAY_MILLIS));
            later(fault.durationMillis(), () -> links.forEach(LinkConditions::resetDelay));
        });
    }

    void silenceLinks(Fault fault, boolean bothWays) {
        boolean toEntry = choice(fault) % 4 < 2;
        onContext(() -> hold(links(fault), bothWays || toEntry, bothWays || !toEntry, fault.durationMillis()));
    }

    void silenceEntries(Fault fault) {
        EntryLinks links = EntryLinks.of(fault.target(), programs.entries().size());
        onContext(() -> hold(links.conditions(site.relays()), true, true, fault.durationMillis()));
    }

    private void hold(List<LinkConditions> links, boolean toEntry, boolean fromEntry, int millis) {
        links.forEach(link -> link.hold(toEntry, fromEntry));
        later(millis, () -> {
            links.forEach(link -> link.hold(false, false));
            site.relays().drain();
        });
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
            process.heal(SoakPrograms.GRACE_MILLIS);
        }
    }
}
