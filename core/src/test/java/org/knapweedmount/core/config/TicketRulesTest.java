package org.knapweedmount.core.config;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.Ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class TicketRulesTest {
    private final ConfigState state = new ConfigState();

    @Test
    void serviceAndItsKindMayBeCreatedTogether() {
        assertThat(check(1, service("dues", "check"), kind("check", "dues")), is(empty()));
    }

    @Test
    void everyProblemIsReported() {
        List<String> problems = check(1, service("dues", "none"), kind("check", "stock"));

        assertThat(
                problems,
                contains(
                        "kind check: there would be no service stock",
                        "service dues: there would be no default kind none"));
    }

    @Test
    void defaultKindBelongsToItsService() {
        List<String> problems = check(1, service("dues", "check"), service("stock", "check"), kind("check", "dues"));

        assertThat(problems, contains("service stock: its default kind check would belong to service dues"));
    }

    @Test
    void serviceWithKindsCannotBeRemovedAlone() {
        state.apply(new Ticket(1, "ana", List.of(service("dues", "check"), kind("check", "dues"))));
        RemovedConfig service = new RemovedConfig(new ConfigKey(ConfigType.SERVICE, "dues"));
        RemovedConfig kind = new RemovedConfig(new ConfigKey(ConfigType.KIND, "check"));

        assertThat(check(2, service), contains("kind check: there would be no service dues"));
        assertThat(check(2, kind), contains("service dues: there would be no default kind check"));
        assertThat(check(2, service, kind), is(empty()));
    }

    private List<String> check(long number, ConfigObject... objects) {
        return TicketRules.check(new Ticket(number, "ana", List.of(objects)), state);
    }

    private static ServiceConfig service(String name, String defaultKind) {
        return new ServiceConfig(name, defaultKind, 1_000, 0);
    }

    private static KindConfig kind(String name, String service) {
        return new KindConfig(name, service, true, true, 1, 80, 500, Resources.NONE);
    }
}
