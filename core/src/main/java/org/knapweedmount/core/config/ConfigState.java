package org.knapweedmount.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;

/**
 * The current configuration of one process.
 *
 * <p>The ticket with the highest number determines the state of an object, independent of the order of arrival.
 * Processes that have applied the same tickets therefore agree, and no object reverts to an earlier state.
 *
 * <p>Not thread-safe; confined to one thread.
 */
public final class ConfigState {
    private final Map<ConfigKey, Versioned> objects = new HashMap<>();
    private long highestNumber;

    private record Versioned(long number, String author, ConfigObject object) {}

    /**
     * Applies the objects of a ticket, except those already set by a ticket with an equal or higher number.
     *
     * @param ticket an accepted ticket
     * @return the keys of the objects that were replaced, empty if the ticket had no effect
     */
    public List<ConfigKey> apply(Ticket ticket) {
        List<ConfigKey> changed = new ArrayList<>();
        for (ConfigObject object : ticket.objects()) {
            if (replace(ticket, object)) {
                changed.add(object.key());
            }
        }
        highestNumber = Math.max(highestNumber, ticket.number());
        return changed;
    }

    private boolean replace(Ticket ticket, ConfigObject object) {
        Versioned existing = objects.get(object.key());
        if (existing != null && existing.number >= ticket.number()) {
            return false;
        }
        objects.put(object.key(), new Versioned(ticket.number(), ticket.author(), object));
        return true;
    }

    /**
     * Returns the highest number among the applied tickets.
     *
     * @return the number, 0 before the first ticket
     */
    public long highestNumber() {
        return highestNumber;
    }

    /**
     * Returns tickets that reproduce this state when applied at another process.
     *
     * @return the tickets with objects still in force, reduced to these objects, in ascending order of their numbers
     */
    public List<Ticket> tickets() {
        Map<Long, List<Versioned>> byNumber = new TreeMap<>();
        for (Versioned versioned : objects.values()) {
            byNumber.computeIfAbsent(versioned.number, number -> new ArrayList<>())
                    .add(versioned);
        }
        List<Ticket> tickets = new ArrayList<>();
        byNumber.forEach((number, parts) -> tickets.add(ticket(number, parts)));
        return tickets;
    }

    private static Ticket ticket(long number, List<Versioned> parts) {
        List<ConfigObject> current =
                parts.stream().map(versioned -> versioned.object).toList();
        return new Ticket(number, parts.get(0).author, current);
    }

    /**
     * Finds a service.
     *
     * @param name the service's name
     * @return the service, empty if there is none
     */
    public Optional<ServiceConfig> service(String name) {
        return find(ConfigType.SERVICE, name, ServiceConfig.class);
    }

    /**
     * Finds a kind of task.
     *
     * @param name the kind's name
     * @return the kind, empty if there is none
     */
    public Optional<KindConfig> kind(String name) {
        return find(ConfigType.KIND, name, KindConfig.class);
    }

    /**
     * Finds a team.
     *
     * @param name the team's name
     * @return the team, empty if there is none
     */
    public Optional<TeamConfig> team(String name) {
        return find(ConfigType.TEAM, name, TeamConfig.class);
    }

    /**
     * Returns the kinds of a service.
     *
     * @param service the service's name
     * @return the kinds by name
     */
    public Map<String, KindConfig> kindsOf(String service) {
        Map<String, KindConfig> kinds = new LinkedHashMap<>();
        all(KindConfig.class).stream()
                .filter(kind -> kind.service().equals(service))
                .forEach(kind -> kinds.put(kind.name(), kind));
        return kinds;
    }

    /**
     * Returns whether a ticket drains an agent.
     *
     * @param process the name of the agent's process
     * @param dataCentre the name of the data centre that it runs in
     * @return true if a current drain object covers the agent
     */
    public boolean drained(String process, String dataCentre) {
        return all(DrainConfig.class).stream().anyMatch(drain -> drain.covers(process, dataCentre));
    }

    /**
     * Returns the current objects of one class.
     *
     * @param type the class of the objects
     * @param <T> the class of the objects
     * @return the objects in no particular order
     */
    public <T extends ConfigObject> Collection<T> all(Class<T> type) {
        return objects.values().stream()
                .map(versioned -> versioned.object)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    /**
     * Finds an object of any type.
     *
     * @param key the object's key
     * @return the object, empty if there is none or it was removed
     */
    public Optional<ConfigObject> object(ConfigKey key) {
        return Optional.ofNullable(objects.get(key))
                .map(versioned -> versioned.object)
                .filter(object -> !(object instanceof RemovedConfig));
    }

    /**
     * Returns an independent copy of this state.
     *
     * @return the copy
     */
    public ConfigState copy() {
        ConfigState copy = new ConfigState();
        copy.objects.putAll(objects);
        copy.highestNumber = highestNumber;
        return copy;
    }

    private <T extends ConfigObject> Optional<T> find(ConfigType configType, String name, Class<T> type) {
        Versioned versioned = objects.get(new ConfigKey(configType, name));
        if (versioned == null || !type.isInstance(versioned.object)) {
            return Optional.empty();
        }
        return Optional.of(type.cast(versioned.object));
    }
}
