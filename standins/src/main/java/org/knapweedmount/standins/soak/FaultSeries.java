package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/** Series of faults that meet at one place of the programs. */
enum FaultSeries {
    /** No aimed series, only faults that are drawn alone. */
    NONE {
        @Override
        List<Fault> draw(Draw draw) {
            return List.of();
        }
    },
    /**
     * An entry is killed and back soon, and its links to the other entries come up late, while the callers of the other
     * entries have to send their jobs again.
     */
    NEW_ENTRY {
        @Override
        List<Fault> draw(Draw draw) {
            int entry = draw.entry();
            int downMillis = draw.between(100, 1_600);
            List<Fault> faults = new ArrayList<>();
            faults.add(draw.fault(0, FaultKind.KILL, entry - 1, downMillis));
            for (int other : draw.otherEntries(entry)) {
                if (draw.isLikely(0.8)) {
                    int cutMillis = downMillis + draw.between(600, 2_200);
                    faults.add(draw.fault(0, FaultKind.ENTRIES_CUT, draw.links(entry, other), cutMillis));
                }
                int resetMillis = Math.max(0, downMillis + draw.between(-500, 800));
                faults.add(draw.fault(resetMillis, FaultKind.CALLERS_RESET, other - 1, draw.noticeMillis()));
            }
            return faults;
        }
    },
    /** Links between entries fall silent and are later released or cut, just as callers of one of them are reset. */
    SILENT_ENTRIES {
        @Override
        List<Fault> draw(Draw draw) {
            int entry = draw.entry();
            int other = draw.entry();
            int silentMillis = draw.between(500, 2_000);
            List<Fault> faults = new ArrayList<>();
            faults.add(draw.fault(0, FaultKind.ENTRIES_SILENT, draw.links(entry, other), silentMillis));
            faults.add(draw.fault(draw.between(0, 900), FaultKind.CALLERS_RESET, entry - 1, draw.noticeMillis()));
            if (other != entry) {
                faults.add(draw.fault(draw.between(0, 900), FaultKind.CALLERS_RESET, other - 1, draw.noticeMillis()));
            }
            if (draw.isLikely(0.5)) {
                int links = draw.links(entry, other);
                faults.add(draw.fault(silentMillis - 1, FaultKind.ENTRIES_CUT, links, draw.between(1, 800)));
            }
            return faults;
        }
    },
    /** Agents are killed or stopped right after an order, so that nobody reads the ends of runs. */
    UNREAD_ENDS {
        @Override
        List<Fault> draw(Draw draw) {
            List<Fault> faults = new ArrayList<>();
            for (int i = draw.between(1, 3); i > 0; i--) {
                FaultKind kind = draw.isLikely(0.5) ? FaultKind.KILL_AFTER_ORDER : FaultKind.FREEZE_AFTER_ORDER;
                faults.add(draw.fault(draw.between(0, 300), kind, draw.worker(), draw.between(50, 2_500)));
            }
            if (draw.isLikely(0.5)) {
                faults.add(draw.fault(
                        draw.between(0, 600), FaultKind.CALLERS_RESET, draw.entry() - 1, draw.noticeMillis()));
            }
            return faults;
        }
    },
    /** A worker begins beside the one that it replaces, while the agent or its links have faults. */
    NEW_WORKER {
        @Override
        List<Fault> draw(Draw draw) {
            int worker = draw.worker();
            List<Fault> faults = new ArrayList<>();
            faults.add(draw.fault(0, FaultKind.WORKER_REPLACED, worker, draw.between(1_000, 3_000)));
            if (draw.isLikely(0.6)) {
                FaultKind kind = draw.isLikely(0.5) ? FaultKind.KILL_AFTER_ORDER : FaultKind.FREEZE_AFTER_ORDER;
                faults.add(draw.fault(draw.between(0, 1_500), kind, worker, draw.between(50, 1_500)));
            }
            if (draw.isLikely(0.5)) {
                faults.add(draw.fault(
                        draw.between(0, 600), FaultKind.CALLERS_RESET, draw.entry() - 1, draw.noticeMillis()));
            }
            return faults;
        }
    },
    /** A data centre is closed and reopened, while entries and agents are killed and their links are reset. */
    EVACUATION {
        @Override
        List<Fault> draw(Draw draw) {
            List<Fault> faults = new ArrayList<>();
            int closedMillis = draw.between(6_500, 9_000);
            faults.add(draw.fault(0, FaultKind.EVACUATION, draw.worker(), closedMillis));
            for (int i = draw.between(2, 5); i > 0; i--) {
                FaultKind kind = draw.isLikely(0.5) ? FaultKind.KILL : FaultKind.LINK_RESET;
                int process = draw.isLikely(0.5) ? draw.entry() - 1 : draw.entries() + draw.worker();
                faults.add(draw.fault(draw.between(0, closedMillis), kind, process, draw.between(100, 1_500)));
            }
            return faults;
        }

        @Override
        int minPauseMillis() {
            return 12_000;
        }

        @Override
        int maxPauseMillis() {
            return 15_000;
        }

        @Override
        boolean isAmongOtherFaults() {
            return false;
        }
    },
    /**
     * All entries are stopped as planned, one shortly after another, so that callers use entries that are stopping; some
     * have little processor time, some pause near the end of their stop.
     */
    STOPS_IN_SERIES {
        @Override
        List<Fault> draw(Draw draw) {
            List<Fault> faults = new ArrayList<>();
            int gapMillis = draw.between(300, 1_500);
            int millis = 0;
            for (int entry : draw.allEntries()) {
                faults.add(draw.fault(millis, FaultKind.PLANNED_STOP, entry - 1, draw.between(1, 500)));
                if (draw.isLikely(0.5)) {
                    faults.add(draw.fault(millis, FaultKind.THROTTLED, entry - 1, STOP_MILLIS));
                }
                if (draw.isLikely(0.8)) {
                    int pauseMillis = draw.between(200, 450);
                    int endMillis = millis
                            + (draw.isLikely(0.6) ? STOP_MILLIS : draw.between(2_500, STOP_MILLIS))
                            + draw.between(-100, 100);
                    faults.add(draw.fault(endMillis - pauseMillis, FaultKind.FREEZE, entry - 1, pauseMillis));
                }
                millis += gapMillis;
            }
            return faults;
        }

        @Override
        int maxPauseMillis() {
            return STOP_SERIES_MILLIS;
        }

        @Override
        int minPauseMillis() {
            return STOP_SERIES_MILLIS;
        }

        @Override
        boolean isAmongOtherFaults() {
            return false;
        }

        @Override
        boolean needsRoomForSecondRuns() {
            return false;
        }
    },
    /** One entry after another lacks processor time for some seconds, while callers use all of them. */
    STARVED_ENTRY {
        @Override
        List<Fault> draw(Draw draw) {
            return List.of(draw.fault(0, FaultKind.STARVED, draw.entry() - 1, draw.between(4_000, 7_000)));
        }

        @Override
        int minPauseMillis() {
            return STARVED_SERIES_MILLIS;
        }

        @Override
        int maxPauseMillis() {
            return STARVED_SERIES_MILLIS;
        }

        @Override
        boolean isAmongOtherFaults() {
            return false;
        }
    };

    private static final int STARVED_SERIES_MILLIS = 9_000;
    private static final int STOP_MILLIS = 5_300;
    private static final int STOP_SERIES_MILLIS = 15_000;

    /** Draws the faults of one series. */
    abstract List<Fault> draw(Draw draw);

    /** Returns the shortest time from one series to the next, in ms. */
    int minPauseMillis() {
        return 2_500;
    }

    /** Returns the time from one series to the next that is not reached, in ms. */
    int maxPauseMillis() {
        return 5_500;
    }

    /** Returns whether other faults that are drawn alone overlap the series. */
    boolean isAmongOtherFaults() {
        return true;
    }

    /** Returns whether workers have to be free enough for second runs, as a full site refuses them. */
    boolean needsRoomForSecondRuns() {
        return this != NONE;
    }

    /**
     * Draws numbers for one series.
     *
     * @param random their source
     * @param startMillis when the series begins, in ms since the begin of the faults
     * @param entries the number of entries
     * @param agents the number of agents
     */
    record Draw(Random random, long startMillis, int entries, int agents) {
        private Fault fault(int millis, FaultKind kind, int target, int durationMillis) {
            return new Fault(startMillis + millis, kind, target, durationMillis);
        }

        private int entry() {
            return 1 + random.nextInt(entries);
        }

        /** Draws the order of all entries. */
        private List<Integer> allEntries() {
            List<Integer> all =
                    new ArrayList<>(IntStream.rangeClosed(1, entries).boxed().toList());
            Collections.shuffle(all, random);
            return all;
        }

        private List<Integer> otherEntries(int entry) {
            return IntStream.rangeClosed(1, entries)
                    .filter(other -> other != entry)
                    .boxed()
                    .toList();
        }

        private int links(int entry, int other) {
            return EntryLinks.number(entry, other, entries);
        }

        private int worker() {
            return random.nextInt(agents);
        }

        private int between(int first, int last) {
            return random.nextInt(first, last + 1);
        }

        /** Draws how late an entry notices that its callers have left, in ms. */
        private int noticeMillis() {
            return isLikely(0.2) ? 0 : between(1_000, 3_500);
        }

        private boolean isLikely(double share) {
            return random.nextDouble() < share;
        }
    }
}
