package org.knapweedmount.standins.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedmount.standins.support.JsonHttp;
import org.tinylog.Logger;

/** The processes of a soak, with the commands of {@code deploy/system.toml}; they end with this process. */
final class SoakPrograms {
    static final int GRACE_MILLIS = 6_000;

    private static final int MILLIS_PER_SECOND = 1_000;

    private final Path root;
    private final Path directory;
    private final SoakAddresses addresses;
    private final int entryCount;
    private final ProcessWatchdog watchdog;
    private final List<SoakProcess> entries = new ArrayList<>();
    private final List<SoakProcess> agents = new ArrayList<>();

    SoakPrograms(Path root, Path directory, SoakAddresses addresses, int entryCount, int agentCount)
            throws IOException {
        this.root = root;
        this.directory = directory;
        this.addresses = addresses;
        this.entryCount = entryCount;
        this.watchdog = new ProcessWatchdog();
        for (int entry = 1; entry <= entryCount; entry++) {
            ObjectNode settings = settings("entry-" + entry, dataCentre(entry), addresses.entryHost(entry))
                    .put("callers", addresses.callers(entry).toString())
                    .put("readiness", addresses.readiness(entry).toString());
            entries.add(program("entry", "entry-" + entry, settings));
        }
        for (int agent = 1; agent <= agentCount; agent++) {
            ObjectNode settings = settings("agent-" + agent, dataCentre(agent), addresses.agentHost(agent))
                    .put("worker", addresses.worker(agent).toString());
            agents.add(program("agent", "agent-" + agent, settings));
        }
    }

    /** Returns the data centre of the entry or agent of a number; half of them are in each of two. */
    static String dataCentre(int number) {
        return "soak-" + (number % 2 == 0 ? "b" : "a");
    }

    private ObjectNode settings(String name, String dataCentre, String host) {
        ObjectNode settings = JsonNodeFactory.instance
                .objectNode()
                .put("name", name)
                .put("region", "soak")
                .put("dataCentre", dataCentre)
                .put("host", host)
                .put("announcements", addresses.announcements(host).toString())
                .put("linkPort", addresses.linkPort())
                .put("metricsPort", addresses.metricsPort())
                .put("store", addresses.store().toString())
                .put("stopSeconds", GRACE_MILLIS / MILLIS_PER_SECOND);
        ArrayNode seeds = settings.putArray("seeds");
        for (int entry = 1; entry <= entryCount; entry++) {
            seeds.add(addresses.announcements(addresses.relayHost(entry)).toString());
        }
        return settings;
    }

    private SoakProcess program(String role, String name, ObjectNode settings) throws IOException {
        Path file = directory.resolve(name + ".json");
        Files.write(file, JsonHttp.encode(settings).getBytes());
        return new SoakProcess(
                name, command(role), root, file, directory.resolve(name + ".log"), this::processesChanged);
    }

    private List<String> command(String role) throws IOException {
        Pattern run = Pattern.compile("^run = \"(java .* " + role + ")\"$", Pattern.MULTILINE);
        Matcher matcher = run.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no command for role " + role);
        }
        return List.of(matcher.group(1).split(" ", -1));
    }

    private void processesChanged() {
        Set<Long> ids =
                all().stream().map(SoakProcess::id).flatMap(Optional::stream).collect(Collectors.toSet());
        try {
            watchdog.update(ids);
        } catch (IOException e) {
            Logger.error("the watchdog cannot be told of the processes: {}", e.getMessage());
        }
    }

    List<SoakProcess> entries() {
        return entries;
    }

    List<SoakProcess> agents() {
        return agents;
    }

    List<SoakProcess> all() {
        List<SoakProcess> all = new ArrayList<>(entries);
        all.addAll(agents);
        return all;
    }

    /** Ends all processes. */
    void close() throws IOException, InterruptedException {
        for (SoakProcess process : all()) {
            process.close();
        }
        watchdog.close();
    }
}
