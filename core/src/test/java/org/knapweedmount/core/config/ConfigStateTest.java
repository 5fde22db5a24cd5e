package org.knapweedmount.core.config;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class ConfigStateTest {
    private final ConfigState state = new ConfigState();

    @Test
    void lowerTicketThatArrivesLateChangesNothing() {
        state.apply(ticket(2, 0.5));

        assertThat(state.apply(ticket(1, 0.1)), is(empty()));
        assertThat(state.team("lamps").map(TeamConfig::quotaShare), is(Optional.of(0.5)));
        assertThat(state.highestNumber(), is(2L));
    }

    @Test
    void removedObjectStaysRemovedWhenAnOlderTicketArrives() {
        ConfigKey key = new ConfigKey(ConfigType.TEAM, "lamps");
        state.apply(new Ticket(3, "ana", List.of(new RemovedConfig(key))));

        state.apply(ticket(2, 0.5));

        assertThat(state.team("lamps"), is(Optional.empty()));
    }

    @Test
    void ticketsReproduceTheStateAtAnotherProcess() {
        state.apply(ticket(1, 0.5));
        state.apply(new Ticket(2, "ana", List.of(new DrainConfig("data-centre:rennes"))));
        state.apply(ticket(3, 0.7));
        ConfigState other = new ConfigState();

        state.tickets().forEach(other::apply);

        assertThat(state.tickets(), hasSize(2));
        assertThat(other.tickets(), is(state.tickets()));
        assertThat(other.drained("agent-1", "rennes"), is(true));
        assertThat(other.drained("agent-1", "brest"), is(false));
    }

    private static Ticket ticket(long number, double quotaShare) {
        return new Ticket(number, "ana", List.of(new TeamConfig("lamps", 1, quotaShare)));
    }
}
