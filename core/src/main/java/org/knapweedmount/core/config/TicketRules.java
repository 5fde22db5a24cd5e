package org.knapweedmount.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.Ticket;

/** Checks the consistency of the configuration that results from a ticket. */
public final class TicketRules {
    private TicketRules() {}

    /**
     * Checks the references between the objects that would be in force after a ticket.
     *
     * @param ticket the ticket
     * @param state the state to apply the ticket to, which is not modified
     * @return the descriptions of the problems in ascending order, empty if there are none
     */
    public static List<String> check(Ticket ticket, ConfigState state) {
        ConfigState after = state.copy();
        after.apply(ticket);
        List<String> problems = new ArrayList<>();
        for (KindConfig kind : after.all(KindConfig.class)) {
            checkKind(kind, after, problems);
        }
        for (ServiceConfig service : after.all(ServiceConfig.class)) {
            checkService(service, after, problems);
        }
        problems.sort(null);
        return problems;
    }

    private static void checkKind(KindConfig kind, ConfigState after, List<String> problems) {
        if (after.service(kind.service()).isEmpty()) {
            problems.add("kind " + kind.name() + ": there would be no service " + kind.service());
        }
    }

    private static void checkService(ServiceConfig service, ConfigState after, List<String> problems) {
        Optional<KindConfig> defaultKind = after.kind(service.defaultKind());
        if (defaultKind.isEmpty()) {
            problems.add("service " + service.name() + ": there would be no default kind " + service.defaultKind());
            return;
        }
        if (!defaultKind.get().service().equals(service.name())) {
            problems.add("service " + service.name() + ": its default kind " + service.defaultKind()
                    + " would belong to service " + defaultKind.get().service());
        }
    }
}
