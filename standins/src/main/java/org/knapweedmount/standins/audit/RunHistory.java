package org.knapweedmount.standins.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The runs of all workers, from the lines of entries and agents. */
final class RunHistory {
    private final List<LoggedRun> runs = new ArrayList<>();
    private final Map<String, LoggedRun> latestRuns = new HashMap<>();
    private final Map<String, List<LoggedRun>> heldRuns = new HashMap<>();
    private final Map<String, String> orders = new HashMap<>();
    private final Map<String, Long> droppedLines = new TreeMap<>();
    private final EntryTrace entries = new EntryTrace();
    private int accepted;
    private int released;
    private int withoutStart;

    /** Reads the lines of all processes in any order. */
    static RunHistory of(Iterable<String> lines) {
        List<LogGroup> groups = new ArrayList<>();
        lines.forEach(text -> LogLine.parse(text).ifPresent(line -> groups.addAll(LogGroup.of(line))));
        groups.sort(Comparator.comparingLong(LogGroup::orderMicros));
        RunHistory history = new RunHistory();
        groups.forEach(history::add);
        for (LoggedRun run : history.runs) {
            String order = history.orders.get(key(run.entryProcess(), run.agent(), run.ref()));
            if (order != null) {
                run.orderedBy(order);
            }
        }
        return history;
    }

    private static String key(String agent, String ref) {
        return agent + " " + ref;
    }

    private static String key(String entry, String agent, String ref) {
        return entry + " " + key(agent, ref);
    }

    private void add(LogGroup group) {
        entries.add(group);
        String process = group.line().process();
        switch (group.line().event()) {
            case "runs-ordered" -> addOrder(process, group);
            case "runs-accepted" -> addAccepted(process, group);
            case "runs-released" -> addReleased(process, group);
            case "runs-foreign" -> addForeign(process, group);
            case "worker-lease" -> addLease(process, group);
            case "worker-life" -> heldRuns.remove(process);
            case "lines-left-out" -> addDropped(group);
            default -> {
                // The other events tell nothing about the time in which a run lived.
            }
        }
    }

    private void addOrder(String entry, LogGroup group) {
        String agent = group.text("agent").split("~", 2)[0];
        String order = "by " + entry + " at " + LogLine.format(group.micros()) + ", link " + group.text("link") + " to "
                + group.text("agent") + ", report received " + group.text("report") + " ms before";
        group.list("tasks").forEach(ref -> orders.put(key(entry, agent, ref), order));
    }

    private LoggedRun start(String agent, String ref, LogGroup group) {
        LoggedRun run = new LoggedRun(agent, ref, group);
        runs.add(run);
        latestRuns.put(key(agent, ref), run);
        return run;
    }

    private void addAccepted(String agent, LogGroup group) {
        addLease(agent, group);
        for (String ref : group.list("runs")) {
            accepted++;
            heldRuns.computeIfAbsent(agent, key -> new ArrayList<>()).add(start(agent, ref, group));
        }
    }

    /** Adds releases, whose items are the run and the ms since its order, its confirmation and its last sign of life. */
    private void addReleased(String agent, LogGroup group) {
        addLease(agent, group);
        for (String item : group.list("runs")) {
            released++;
            String[] parts = item.split("/", -1);
            LoggedRun run = latestRuns.get(key(agent, parts[0]));
            if (run == null || run.isReleased()) {
                withoutStart++;
                long orderedMicros = group.micros() - 1_000 * Long.parseLong(parts[1]);
                run = start(agent, parts[0], new LogGroup(group.line(), orderedMicros, group.fields()));
            }
            run.release(group, parts[2], parts[3]);
            heldRuns.getOrDefault(agent, new ArrayList<>()).remove(run);
        }
    }

    private void addForeign(String agent, LogGroup group) {
        for (String ref : group.list("runs")) {
            LoggedRun run = latestRuns.get(key(agent, ref));
            if (run == null) {
                withoutStart++;
                run = start(agent, ref, group);
            }
            run.seenForeign(group.micros());
        }
    }

    private void addLease(String agent, LogGroup group) {
        for (LoggedRun run : heldRuns.getOrDefault(agent, List.of())) {
            if (run.worker().equals(group.text("worker"))) {
                run.recordLease(group);
            }
        }
    }

    private void addDropped(LogGroup group) {
        String events = group.fields().getOrDefault("events", "{unknown=" + group.text("count") + "}");
        LogLine.fields(events.substring(1, events.length() - 1).replace(",", " "))
                .forEach((event, count) -> droppedLines.merge(event, Long.parseLong(count), Long::sum));
    }

    /** Returns what the entries logged. */
    EntryTrace entries() {
        return entries;
    }

    List<LoggedRun> runs() {
        return runs;
    }

    /** Returns the number of starts that agents accepted. */
    int accepted() {
        return accepted;
    }

    /** Returns the number of runs that agents released. */
    int released() {
        return released;
    }

    /** Returns the number of runs whose accepted start has no line. */
    int withoutStart() {
        return withoutStart;
    }

    /** Returns the number of lines that the processes left out, by event. */
    Map<String, Long> droppedLines() {
        return droppedLines;
    }
}
