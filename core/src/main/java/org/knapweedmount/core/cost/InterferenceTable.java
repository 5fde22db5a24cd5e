package org.knapweedmount.core.cost;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.message.KindInterference;

/**
 * The pairs of kinds of tasks that slow each other down on the workers of a service, as the agents report them now.
 *
 * <p>The table holds nothing but the newest reports: a pair ends with the last report that has it.
 */
public final class InterferenceTable {
    /** The table without pairs. */
    public static final InterferenceTable EMPTY = new InterferenceTable(Map.of());

    /** The pairs that are considered; agents report four each. */
    static final int MAX_PAIRS = 16;

    private static final double PERCENT = 100;

    private final Map<String, Map<String, Double>> slowdowns;

    private record Pair(String kind, String neighbour) {}

    /** The weighted sum of the logarithms that agents report. */
    private static final class Sum {
        private double weight;
        private double weightedLog;

        private void add(KindInterference reported) {
            double samples = Math.max(1, reported.samples());
            weight += samples;
            weightedLog += samples * Math.log(Math.max(1, reported.slowdownPercent()) / PERCENT);
        }

        private double slowdown() {
            return Math.max(1, Math.exp(weightedLog / weight));
        }
    }

    private InterferenceTable(Map<String, Map<String, Double>> slowdowns) {
        this.slowdowns = slowdowns;
    }

    /**
     * Merges what agents report, weighted by their samples.
     *
     * @param reported the pairs in the newest reports of the workers of a service
     * @return the pairs; those with the most samples if there are too many
     */
    public static InterferenceTable of(Collection<KindInterference> reported) {
        if (reported.isEmpty()) {
            return EMPTY;
        }
        Map<Pair, Sum> sums = new HashMap<>();
        reported.forEach(pair -> sums.computeIfAbsent(new Pair(pair.kind(), pair.neighbour()), key -> new Sum())
                .add(pair));
        List<Map.Entry<Pair, Sum>> kept = sums.entrySet().stream()
                .sorted(Comparator.comparingDouble((Map.Entry<Pair, Sum> entry) -> -entry.getValue().weight)
                        .thenComparing(entry -> entry.getKey().kind())
                        .thenComparing(entry -> entry.getKey().neighbour()))
                .limit(MAX_PAIRS)
                .toList();
        Map<String, Map<String, Double>> slowdowns = new HashMap<>();
        for (Map.Entry<Pair, Sum> entry : kept) {
            slowdowns
                    .computeIfAbsent(entry.getKey().kind(), key -> new HashMap<>())
                    .put(entry.getKey().neighbour(), entry.getValue().slowdown());
        }
        return new InterferenceTable(slowdowns);
    }

    /**
     * Returns whether no pair is known.
     *
     * @return true if each factor is 1
     */
    public boolean isEmpty() {
        return slowdowns.isEmpty();
    }

    /**
     * Returns how many times as long tasks of one kind run beside tasks of another.
     *
     * @param kind the kind of the tasks that run longer
     * @param neighbour the kind beside them
     * @return the factor, at least 1; 1 if the pair is not known
     */
    public double slowdown(String kind, String neighbour) {
        Map<String, Double> neighbours = slowdowns.get(kind);
        return neighbours == null ? 1 : neighbours.getOrDefault(neighbour, 1.0);
    }

    /**
     * Describes the pairs for the log.
     *
     * @return each pair with its factor
     */
    @Override
    public String toString() {
        return slowdowns.toString();
    }
}
