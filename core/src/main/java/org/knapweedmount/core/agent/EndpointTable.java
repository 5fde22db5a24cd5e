package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Resources;
import org.knapweedmount.core.metric.Invariants;

/** The endpoints beside the agent, by id and by service. */
final class EndpointTable {
    private static final int MAX_ENDPOINTS = 256;

    private final Invariants invariants;
    private final Map<String, Endpoint> byId = new LinkedHashMap<>();
    private final Map<String, List<Endpoint>> byService = new HashMap<>();

    EndpointTable(Invariants invariants) {
        this.invariants = invariants;
    }

    /**
     * Takes an announcement; one beyond the bound is dropped, one for another service replaces the endpoint.
     *
     * @return the endpoint that has left because of it
     */
    Optional<Endpoint> announced(EndpointAnnouncement announcement, long nowNanos) {
        Endpoint present = byId.get(announcement.id());
        if (present != null && present.service().equals(announcement.service())) {
            present.announced(announcement, nowNanos);
            return Optional.empty();
        }
        Optional<Endpoint> replaced = left(announcement.id());
        if (byId.size() < MAX_ENDPOINTS) {
            add(new Endpoint(announcement, invariants, nowNanos));
        }
        return replaced;
    }

    private void add(Endpoint endpoint) {
        byId.put(endpoint.id(), endpoint);
        byService
                .computeIfAbsent(endpoint.service(), service -> new ArrayList<>())
                .add(endpoint);
    }

    /** Marks an endpoint as leaving. */
    Optional<Endpoint> left(String id) {
        Optional<Endpoint> endpoint = find(id);
        endpoint.ifPresent(Endpoint::left);
        endpoint.ifPresent(this::removeIfGone);
        return endpoint;
    }

    /** Removes an endpoint that has left and runs nothing more. */
    void removeIfGone(Endpoint endpoint) {
        if (!endpoint.gone()) {
            return;
        }
        byId.remove(endpoint.id(), endpoint);
        List<Endpoint> others = byService.get(endpoint.service());
        others.remove(endpoint);
        if (others.isEmpty()) {
            byService.remove(endpoint.service());
        }
    }

    /** Takes expired announcements for leaving endpoints, and ends pauses that are over. */
    void tick(long nowNanos) {
        for (Endpoint endpoint : List.copyOf(byId.values())) {
            if (endpoint.expired(nowNanos)) {
                left(endpoint.id());
            }
            endpoint.endPause(nowNanos);
        }
    }

    Optional<Endpoint> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    Collection<Endpoint> all() {
        return Collections.unmodifiableCollection(byId.values());
    }

    /** Counts the tasks that may be started for a service beside those that run. */
    int openSlots(String service) {
        int open = 0;
        for (Endpoint endpoint : endpoints(service)) {
            open += endpoint.openSlots();
        }
        return open;
    }

    /** Counts the slots that entries are told of. */
    int advertisedSlots(String service) {
        int slots = 0;
        for (Endpoint endpoint : endpoints(service)) {
            slots += endpoint.advertisedSlots();
        }
        return slots;
    }

    /** Returns the resources of the largest worker. */
    Resources largest(String service) {
        Resources largest = Resources.NONE;
        for (Endpoint endpoint : endpoints(service)) {
            if (endpoint.advertisedSlots() > 0) {
                largest = largest.max(endpoint.resources());
            }
        }
        return largest;
    }

    /** Tells whether a task would fit on an open slot beside what is reserved. */
    boolean fits(String service, String kind, Resources declared, Resources reserved) {
        for (Endpoint endpoint : endpoints(service)) {
            if (endpoint.openSlots() > 0 && endpoint.fits(endpoint.charge(kind, declared), reserved)) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether a task would fit on some endpoint if nothing else ran there. */
    boolean couldFit(String service, Resources declared) {
        for (Endpoint endpoint : endpoints(service)) {
            if (endpoint.couldFit(declared)) {
                return true;
            }
        }
        return false;
    }

    /** Finds the least loaded endpoint with an open slot on which a task fits beside what is reserved. */
    Optional<Endpoint> choose(String service, String kind, Resources declared, Resources reserved) {
        Endpoint chosen = null;
        for (Endpoint endpoint : endpoints(service)) {
            if (endpoint.openSlots() == 0 || !endpoint.fits(endpoint.charge(kind, declared), reserved)) {
                continue;
            }
            if (chosen == null || endpoint.load() < chosen.load()) {
                chosen = endpoint;
            }
        }
        return Optional.ofNullable(chosen);
    }

    private List<Endpoint> endpoints(String service) {
        return byService.getOrDefault(service, List.of());
    }
}
