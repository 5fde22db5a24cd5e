package org.knapweedmount.standins.soak;

/** What a fault concerns; the number of the fault selects one of them by its remainder. */
enum FaultTarget {
    /** An entry or an agent. */
    PROCESS {
        @Override
        String name(int number, SoakPrograms programs) {
            return programs.all().get(number % programs.all().size()).name();
        }
    },
    /** An entry. */
    ENTRY {
        @Override
        String name(int number, SoakPrograms programs) {
            return programs.entries().get(number % programs.entries().size()).name();
        }
    },
    /** The links between one entry and another one, or all others. */
    ENTRY_LINKS {
        @Override
        String name(int number, SoakPrograms programs) {
            EntryLinks links = EntryLinks.of(number, programs.entries().size());
            return "entry-" + links.entry() + " to " + links.others();
        }
    },
    /** A worker. */
    WORKER {
        @Override
        String name(int number, SoakPrograms programs) {
            return "worker-" + (1 + number % programs.agents().size());
        }
    },
    /** All processes, or all callers. */
    ALL {
        @Override
        String name(int number, SoakPrograms programs) {
            return "all";
        }
    };

    /** Returns the name of what a number selects. */
    abstract String name(int number, SoakPrograms programs);
}
