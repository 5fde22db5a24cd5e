package org.knapweedmount.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.config.TicketReader;
import org.knapweedmount.core.config.TicketRules;
import org.knapweedmount.daemon.settings.SettingsReader;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class ExampleFilesTest {
    @ParameterizedTest
    @ValueSource(strings = {"kerlann", "cuotas"})
    void jobsUseTheKindsAndTeamsOfTheFirstTicket(String site) throws Exception {
        Map<String, String> serviceOfKind = new HashMap<>();
        Map<String, String> teams = new HashMap<>();
        for (JsonNode object : read(site, "ticket-1.json").path("objects")) {
            String name = object.path("name").asText();
            switch (object.path("type").asText()) {
                case "kind" -> serviceOfKind.put(name, object.path("service").asText());
                case "team" -> teams.put(name, name);
                default -> assertThat(object.path("type").asText(), is("service"));
            }
        }
        for (Path file : files(site, "job-")) {
            ObjectNode job = JsonText.readFile(file);
            assertThat(file.toString(), teams.containsKey(job.path("team").asText()), is(true));
            assertThat(file.toString(), job.path("tasks").size(), greaterThan(0));
            for (JsonNode task : job.path("tasks")) {
                assertThat(
                        serviceOfKind.get(task.path("kind").asText()),
                        is(job.path("service").asText()));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"kerlann", "cuotas"})
    void processesHaveNamesAndPortsOfTheirOwn(String site) throws Exception {
        Map<String, Path> seen = new HashMap<>();
        for (String prefix : List.of("entry-", "agent-")) {
            for (Path file : files(site, prefix)) {
                ObjectNode settings = JsonText.readFile(file);
                String port = settings.path("http").path("port").asText();
                for (String unique : List.of(settings.path("name").asText(), port)) {
                    assertThat(file + " " + unique, seen.put(unique, file) == null, is(true));
                }
            }
        }
        assertThat(seen.size(), is(12));
    }

    @ParameterizedTest
    @ValueSource(strings = {"kerlann", "cuotas"})
    void ticketsAreAcceptedInTheOrderOfTheirNumbers(String site) throws Exception {
        ConfigState state = new ConfigState();
        for (Path file : files(site, "ticket-")) {
            ObjectNode json = JsonText.readFile(file);
            long number = json.remove("number").longValue();
            Ticket ticket = TicketReader.readBody(number, json.toString().getBytes(StandardCharsets.UTF_8));
            assertThat(file.toString(), number, greaterThan(state.highestNumber()));
            assertThat(file.toString(), TicketRules.check(ticket, state), is(List.of()));
            state.apply(ticket);
        }
        assertThat(state.highestNumber(), greaterThan(1L));
    }

    @ParameterizedTest
    @ValueSource(strings = {"kerlann", "cuotas"})
    void settingsAreValid(String site) throws Exception {
        for (String prefix : List.of("entry-", "agent-")) {
            for (Path file : files(site, prefix)) {
                SettingsReader.read(file);
            }
        }
    }

    private static ObjectNode read(String site, String file) throws CliException {
        return JsonText.readFile(directory(site).resolve(file));
    }

    private static List<Path> files(String site, String prefix) throws IOException {
        try (Stream<Path> all = Files.list(directory(site))) {
            return all.filter(file -> file.getFileName().toString().startsWith(prefix))
                    .sorted()
                    .toList();
        }
    }

    private static Path directory(String site) {
        return Path.of("..", "examples", site);
    }
}
