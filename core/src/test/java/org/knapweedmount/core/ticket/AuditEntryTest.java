package org.knapweedmount.core.ticket;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.config.ConfigState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AuditEntryTest {
    @Test
    void recordsEachObjectBeforeAndAfter() {
        ConfigState before = new ConfigState();
        before.apply(new Ticket(1, "ana", List.of(new TeamConfig("north", 1, 0.5), new DrainConfig("agent-1"))));
        Ticket ticket = new Ticket(
                2,
                "luis",
                List.of(
                        new TeamConfig("north", 2, 0.5),
                        new RemovedConfig(new ConfigKey(ConfigType.DRAIN, "agent-1")),
                        new DrainConfig("agent-2")));

        AuditEntry entry = AuditEntry.of(ticket, before, "night-shift", "entry-1", "2026-01-01T00:00:00Z");

        assertThat(
                entry.toJson().toString(),
                is("{\"number\":2,\"author\":\"luis\",\"token\":\"night-shift\",\"entry\":\"entry-1\","
                        + "\"when\":\"2026-01-01T00:00:00Z\",\"changes\":["
                        + "{\"key\":\"team/north\",\"before\":{\"type\":\"team\",\"name\":\"north\",\"weight\":1.0,"
                        + "\"quotaShare\":0.5},\"after\":{\"type\":\"team\",\"name\":\"north\",\"weight\":2.0,"
                        + "\"quotaShare\":0.5}},"
                        + "{\"key\":\"drain/agent-1\",\"before\":{\"type\":\"drain\",\"name\":\"agent-1\"},"
                        + "\"after\":null},"
                        + "{\"key\":\"drain/agent-2\",\"before\":null,"
                        + "\"after\":{\"type\":\"drain\",\"name\":\"agent-2\"}}]}"));
        assertThat(before.team("north").orElseThrow().weight(), is(1.0));
    }
}
