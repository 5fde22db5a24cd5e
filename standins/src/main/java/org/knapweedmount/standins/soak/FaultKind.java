package org.knapweedmount.standins.soak;

import java.io.IOException;

/** The faults of a soak; the weight is how often a kind is drawn alone, 0 if it is a part of aimed series only. */
enum FaultKind {
    /** SIGKILL of one entry or agent, which is started again after the fault's time. */
    KILL(10, FaultTarget.PROCESS, FaultInjector::kill),
    /** SIGTERM of one entry or agent; started again after it has ended. */
    PLANNED_STOP(6, FaultTarget.PROCESS, FaultInjector::plannedStop),
    /** SIGSTOP of one entry or agent, and SIGCONT after the fault's time. */
    FREEZE(16, FaultTarget.PROCESS, FaultInjector::freeze),
    /** SIGKILL of all processes. */
    KILL_ALL(1, FaultTarget.ALL, FaultInjector::killAll),
    /** Versions of the configuration in series. */
    CONFIG(3, FaultTarget.ALL, FaultInjector::writeConfigs),
    /** A worker crashes and is back under the same ID. */
    WORKER_CRASH_SAME_ID(8, FaultTarget.WORKER, (injector, fault) -> injector.crashWorker(fault, true)),
    /** A worker crashes and is back under another ID. */
    WORKER_CRASH_NEW_ID(5, FaultTarget.WORKER, (injector, fault) -> injector.crashWorker(fault, false)),
    /** A worker gives notice, ends and is back under another ID. */
    WORKER_LEAVE(4, FaultTarget.WORKER, FaultInjector::leave),
    /** The runs that a worker starts take longer. */
    WORKER_SLOW(4, FaultTarget.WORKER, FaultInjector::slowDown),
    /** Some orders to one worker are executed late and without an answer. */
    LATE_ORDERS(6, FaultTarget.WORKER, FaultInjector::executeLate),
    /** Some answers of one worker are lost. */
    LOST_ANSWERS(6, FaultTarget.WORKER, FaultInjector::loseAnswers),
    /** Some callers disconnect early. */
    ABANDONED(4, FaultTarget.ALL, FaultInjector::abandon),
    /** More jobs than usual. */
    BURST(4, FaultTarget.ALL, FaultInjector::burst),
    /** All bytes between an entry and its callers are held back, and passed on late. */
    CALLERS_SILENT(8, FaultTarget.ENTRY, FaultInjector::silenceCallers),
    /** Half of the connections of an entry are reset at once, those of callers and those to other processes. */
    CONNECTIONS_RESET(12, FaultTarget.ENTRY, FaultInjector::resetConnections),
    /** The links of a process are reset. */
    LINK_RESET(14, FaultTarget.PROCESS, FaultInjector::resetLinks),
    /** Links of a process are reset, and new ones too until the fault's time is over. */
    LINK_CUT(6, FaultTarget.PROCESS, FaultInjector::cutLinks),
    /** The messages on links of a process are held back in both directions, and passed on late. */
    LINK_SILENCE(6, FaultTarget.PROCESS, (injector, fault) -> injector.silenceLinks(fault, true)),
    /** The messages on links of a process are held back in one direction, and passed on late. */
    LINK_ONE_WAY(6, FaultTarget.PROCESS, (injector, fault) -> injector.silenceLinks(fault, false)),
    /** The messages on links of a process take longer. */
    LINK_DELAY(5, FaultTarget.PROCESS, FaultInjector::delayLinks),
    /** All connections of an entry's callers are reset; the entry notices it after the fault's time. */
    CALLERS_RESET(0, FaultTarget.ENTRY, FaultInjector::resetCallers),
    /** Links between entries are reset, and new ones too until the fault's time is over. */
    ENTRIES_CUT(0, FaultTarget.ENTRY_LINKS, FaultInjector::cutEntries),
    /** The messages on links between entries are held back in both directions, and passed on late. */
    ENTRIES_SILENT(0, FaultTarget.ENTRY_LINKS, FaultInjector::silenceEntries),
    /** One entry or agent gets two fifths of a core, in parts of 40 ms, for the fault's time. */
    THROTTLED(0, FaultTarget.PROCESS, FaultInjector::throttle),
    /** One entry gets a thirtieth of a core, in parts of 5 ms, for the fault's time. */
    STARVED(0, FaultTarget.ENTRY, FaultInjector::starve),
    /** SIGKILL of an agent as soon as its worker has executed an order; started again after the fault's time. */
    KILL_AFTER_ORDER(0, FaultTarget.WORKER, FaultInjector::killAfterOrder),
    /** SIGSTOP of an agent as soon as its worker has executed an order, and SIGCONT after the fault's time. */
    FREEZE_AFTER_ORDER(0, FaultTarget.WORKER, FaultInjector::freezeAfterOrder),
    /** A worker with another ID begins on a VM; the old one drains from then on, for the fault's time. */
    WORKER_REPLACED(0, FaultTarget.WORKER, FaultInjector::replaceWorker),
    /** The operator closes the data centre of a worker, and reopens it after the fault's time. */
    EVACUATION(0, FaultTarget.WORKER, FaultInjector::evacuate);

    private final int weight;
    private final FaultTarget target;
    /** Stateless, because it refers to a method without captured values. */
    @SuppressWarnings("ImmutableEnumChecker")
    private final Effect effect;

    /** What a fault does. */
    @FunctionalInterface
    private interface Effect {
        void inject(FaultInjector injector, Fault fault) throws IOException, InterruptedException;
    }

    FaultKind(int weight, FaultTarget target, Effect effect) {
        this.weight = weight;
        this.target = target;
        this.effect = effect;
    }

    int weight() {
        return weight;
    }

    FaultTarget target() {
        return target;
    }

    /** Injects a fault of this kind. */
    void inject(FaultInjector injector, Fault fault) throws IOException, InterruptedException {
        effect.inject(injector, fault);
    }
}
