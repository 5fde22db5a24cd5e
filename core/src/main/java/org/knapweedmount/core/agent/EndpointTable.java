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

/** The endpoints of this agent, indexed by ID and by service. */
final class EndpointTable {
    private static final int MAX_ENDPOINTS = 256;

    private final Invariants invariants;
    private final Map<String, Endpoint> byId = new LinkedHashMap<>();
    private final Map<String, List<Endpoint>> byService = new HashMap<>();

    EndpointTable(Invariants invariants) {
        this.invariants = invariants;
    }

    /**
     * Handles an announcement.
     *
     * <p>An announcement with the ID of an endpoint of another service replaces that endpoint. A new endpoint is
     * ignored when the table is full.
     *
     * @return the endpoint that was replaced, empty if there was none
     */
    Optional<Endpoint> announced(EndpointAnnouncement announcement, long nowNanos) {
        Endpoint existing = byId.get(announcement.id());
        if (existing != null && existing.service().equals(announcement.service())) {
            existing.announced(announcement, nowNanos);
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

    /** Marks an endpoint as leaving, and returns it if it is known. */
    Optional<Endpoint> left(String id) {
        Optional<Endpoint> endpoint = find(id);
        endpoint.ifPresent(Endpoint::left);
        endpoint.ifPresent(this::removeIfGone);
        return endpoint;
    }

    /** Removes an endpoint that has left and has no running tasks. */
    void removeIfGone(Endpoint endpoint) {
        if (!endpoint.isGone()) {
            return;
        }
        byId.remove(endpoint.id(), endpoint);
        List<Endpoint> others = byService.get(endpoint.service());
        others.remove(endpoint);
        if (others.isEmpty()) {
            byService.remove(endpoint.service());
        }
    }

    /** Marks endpoints with expired announcements as leaving, and ends pauses that are over. */
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

    /** Returns the number of further tasks that may be started for a service now. */
    int openSlots(String service) {
        int open = 0;
        for (Endpoint endpoint : endpoints(service)) {
            open += endpoint.openSlots();
        }
        return open;
    }

    /** Returns the number of slots of a service that are reported to entries. */
    int advertisedSlots(String service) {
        int slots = 0;
        for (Endpoint endpoint : endpoints(service)) {
            slots += endpoint.advertisedSlots();
        }
        return slots;
    }

    /** Returns the component-wise maximum of the resources of the workers of a service. */
    Resources maxResources(String service) {
        Resources max = Resources.NONE;
        for (Endpoint endpoint : endpoints(service)) {
            if (endpoint.advertisedSlots() > 0) {
                max = max.max(endpoint.resources());
            }
        }
        return max;
    }

    /** Returns whether a task fits on an endpoint with an open slot, in addition to the reserved resources. */
    boolean fits(String service, String kind, Resources declared, Resources reserved) {
        for (Endpoint endpoint : endpoints(service)) {
            if (endpoint.openSlots() > 0 && endpoint.fits(endpoint.charge(kind, declared), reserved)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a task would fit on some endpoint if nothing else ran there. */
    boolean couldFit(String service, Resources declared) {
        for (Endpoint endpoint : endpoints(service)) {
            if (endpoint.couldFit(declared)) {
                return true;
            }
        }
        return false;
    }

    /** Finds the least loaded endpoint with an open slot where a task fits in addition to the reserved resources. */
    Optional<Endpoint> choose(String service, String kind, Resources declared, Resources reserved) {
        Endpoint leastLoaded = null;
        for (Endpoint endpoint : endpoints(service)) {
            if (endpoint.openSlots() == 0 || !endpoint.fits(endpoint.charge(kind, declared), reserved)) {
                continue;
            }
            if (leastLoaded == null || endpoint.load() < leastLoaded.load()) {
                leastLoaded = endpoint;
            }
        }
        return Optional.ofNullable(leastLoaded);
    }

    private List<Endpoint> endpoints(String service) {
        return byService.getOrDefault(service, List.of());
    }
}
