package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;

import org.knapweedmount.api.Incarnation;

/** The jobs that other entries may hold as far as is known here, and which entries those are. */
final class UnconfirmedJobs {
    private final Map<String, Unconfirmed> jobs = new LinkedHashMap<>();

    /** The entries that may hold a job, and those that have said since it was submitted that they do not. */
    private record Unconfirmed(RequiredKnowledge required, Set<Incarnation> entries, Set<Incarnation> denied) {}

    /** Records which entries may hold a job, but for those that have denied it. */
    void put(String job, RequiredKnowledge required, Set<Incarnation> entries) {
        Unconfirmed before = jobs.get(job);
        Set<Incarnation> denied = before == null ? new LinkedHashSet<>() : before.denied();
        Set<Incarnation> unconfirmed = new LinkedHashSet<>(entries);
        unconfirmed.removeAll(denied);
        if (unconfirmed.isEmpty() && denied.isEmpty()) {
            jobs.remove(job);
        } else {
            jobs.put(job, new Unconfirmed(required, unconfirmed, denied));
        }
    }

    boolean contains(String job) {
        return !entries(job).isEmpty();
    }

    int size() {
        return jobs.size();
    }

    /** Returns the jobs that other entries may hold. */
    List<String> all() {
        return jobs.keySet().stream().filter(this::contains).toList();
    }

    /** Returns the entries that may hold a job. */
    Set<Incarnation> entries(String job) {
        Unconfirmed unconfirmed = jobs.get(job);
        return unconfirmed == null ? Set.of() : Set.copyOf(unconfirmed.entries());
    }

    void remove(String job) {
        jobs.remove(job);
    }

    /** Records that an entry has said that it does not hold a job; returns true if it was one that might. */
    boolean deny(String job, Incarnation entry) {
        Unconfirmed unconfirmed = jobs.get(job);
        if (unconfirmed == null || !unconfirmed.entries().remove(entry)) {
            return false;
        }
        unconfirmed.denied().add(entry);
        return true;
    }

    /** Removes the entries whose jobs are known as required; returns the jobs that no other entry may hold any more. */
    List<String> removeConfirmed(BiPredicate<Incarnation, RequiredKnowledge> isConfirmed) {
        List<String> confirmed = new ArrayList<>();
        jobs.forEach((job, unconfirmed) -> {
            boolean removed = unconfirmed.entries().removeIf(entry -> isConfirmed.test(entry, unconfirmed.required()));
            if (removed && unconfirmed.entries().isEmpty()) {
                confirmed.add(job);
            }
        });
        return confirmed;
    }
}
