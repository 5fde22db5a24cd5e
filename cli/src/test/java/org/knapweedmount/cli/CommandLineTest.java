package org.knapweedmount.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/** Runs command lines against a stub of an entry with prepared responses. */
class CommandLineTest {
    private static final String ID = "entry-1~00000000000000ff.17.3";
    private static final String STALE =
            "{\"title\":\"stale\",\"detail\":\"the number is too low\",\"status\":409,\"highest\":9}";
    private static final String OVERLOADED = "{\"outcome\":\"not-run\",\"reason\":\"overloaded\",\"detail\":\"full\"}";

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<String> teams = new CopyOnWriteArrayList<>();
    private final List<String> firstAttempts = new CopyOnWriteArrayList<>();
    private final Map<String, PreparedResponse> responses = new ConcurrentHashMap<>();
    private HttpServer entry;

    private record PreparedResponse(int status, String outcome, String contentType, String body) {}

    @BeforeEach
    void start() throws IOException {
        Files.writeString(directory.resolve("token"), "# ours\n\nana secret\nben other\n");
        entry = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        entry.createContext("/", this::respond);
        entry.start();
    }

    @AfterEach
    void stop() {
        entry.stop(0);
    }

    @Test
    void appliesATicketUnderTheNumberInTheFile() throws IOException {
        prepare("PUT /v1/tickets/9", 200, "", "{\"number\":9,\"state\":\"accepted\"}");
        Path file = file("// ours\n{\"number\":9,\"author\":\"ana\",\"objects\":[]}");
        assertThat(run("ticket", "apply", file.toString()), is(ExitCode.OK));
        assertThat(text(out), is("ticket 9 accepted\n"));
        assertThat(requests, is(List.of("PUT /v1/tickets/9 Bearer secret {\"author\":\"ana\",\"objects\":[]}")));
    }

    @Test
    void aStaleTicketIsRefused() throws IOException {
        prepare("PUT /v1/tickets/5", 409, "", STALE);
        Path file = file("{\"number\":9,\"author\":\"ana\",\"objects\":[]}");
        assertThat(run("ticket", "apply", file.toString(), "--number", "5"), is(ExitCode.REFUSED));
        assertThat(text(err), allOf(containsString("too low"), containsString("highest accepted number 9")));
    }

    @Test
    void ticketWithUnknownOutcomeHasItsOwnExitCode() throws IOException {
        prepare("PUT /v1/tickets/9", 503, "", "{\"outcome\":\"unknown\",\"reason\":\"store-unavailable\"}");
        assertThat(run("ticket", "apply", file("{\"number\":9}").toString()), is(ExitCode.UNKNOWN));
    }

    @Test
    void badCommandLinesAndFilesAreUsageErrors() throws IOException {
        String[][] commandLines = {
            {},
            {"ticket"},
            {"tickets", "apply"},
            {"ticket", "apply"},
            {"ticket", "apply", "nosuch.json"},
            {"ticket", "apply", file("{\"number\":").toString()},
            {"ticket", "apply", file("[]").toString()},
            {"ticket", "apply", file("{\"objects\":[]}").toString()},
            {"ticket", "show", "nine"},
            {"call", "desk"},
            {"status", "--nosuch"}
        };
        for (String[] words : commandLines) {
            assertThat(String.join(" ", words), run(words), is(ExitCode.USAGE));
        }
        assertThat(requests, is(List.of()));
    }

    @Test
    void everyCommandHasHelpWithTheExitCodes() {
        for (Command command : CommandRegistry.commands()) {
            String[] words = (command.name() + " --help").split(" ", -1);
            assertThat(command.name(), run(words), is(ExitCode.OK));
        }
        assertThat(text(out), allOf(containsString("--operators"), containsString("nothing was started")));
    }

    @Test
    void aCallPrintsTheBodyOfTheResponse() {
        prepare("POST /v1/services/desk/find?n=1", 200, "complete", "there");
        assertThat(run("call", "desk", "/find?n=1", "--body", "lens"), is(ExitCode.OK));
        assertThat(text(out), is("there\n"));
        assertThat(requests, is(List.of("POST /v1/services/desk/find?n=1 null lens")));
    }

    @Test
    void aCallEndsWithItsOutcome() {
        prepare("POST /v1/services/desk/a", 500, "failed", "broken");
        assertThat(run("call", "desk", "a"), is(ExitCode.FAILED));
        responses.put(
                "POST /v1/services/desk/a", new PreparedResponse(503, "", "application/problem+json", OVERLOADED));
        assertThat(run("call", "desk", "a"), is(ExitCode.NOT_RUN));
        assertThat(text(err), containsString("not-run: overloaded: full"));
        prepare("POST /v1/services/desk/a", 504, "unknown", "");
        assertThat(run("call", "desk", "a"), is(ExitCode.UNKNOWN));
        prepare("POST /v1/services/desk/a", 404, "", "");
        assertThat(run("call", "desk", "a"), is(ExitCode.REFUSED));
    }

    @Test
    void aProblemDocumentOfTheEndpointIsPrintedAsTheResponse() {
        String body = "{\"type\":\"urn:shop:no-such-lens\",\"title\":\"No such lens\"}";
        responses.put(
                "POST /v1/services/desk/a", new PreparedResponse(404, "failed", "application/problem+json", body));
        assertThat(run("call", "desk", "a"), is(ExitCode.FAILED));
        assertThat(text(out), is(body + "\n"));
        assertThat(text(err), containsString("failed with status 404"));
    }

    @Test
    void failedJobPrintsTheOutcomeOfEachTask() {
        String body =
                "{\"type\":\"urn:knapweedmount:problem:task-failed\",\"outcome\":\"failed\",\"reason\":\"task-failed\","
                        + "\"detail\":\"task 1 failed\",\"tasks\":[{\"outcome\":\"complete\",\"reason\":\"none\",\"status\":200},"
                        + "{\"outcome\":\"failed\",\"reason\":\"task-failed\",\"status\":404,\"body\":\"no lens\"}]}";
        responses.put("GET /v1/jobs/mine", new PreparedResponse(502, "failed", "application/problem+json", body));
        assertThat(run("job", "status", "mine"), is(ExitCode.FAILED));
        assertThat(text(err), is("failed: task-failed: task 1 failed\n"));
        assertThat(text(out), is("""
                task  outcome   reason       status  body
                0     complete  none         200
                1     failed    task-failed  404     no lens
                """));
    }

    @Test
    void aJobGetsAnIdBeforeItIsSubmitted() throws IOException {
        prepare("POST /v1/submission-ids?count=1", 200, "", "{\"ids\":[\"" + ID + "\"]}");
        String path = "/v1/jobs/entry-1%7E00000000000000ff.17.3";
        prepare("PUT " + path, 200, "", "{\"outcome\":\"complete\",\"results\":[{\"status\":200,\"body\":\"x\"}]}");
        assertThat(run("job", "submit", file("{\"tasks\":[]}").toString(), "--team", "t"), is(ExitCode.OK));
        assertThat(requests.get(1), is("PUT " + path + " null {\"tasks\":[],\"team\":\"t\"}"));
        assertThat(text(err), is("submission " + ID + "\n"));
        assertThat(text(out), containsString("complete\ntask  status  content type  body\n0     200"));
    }

    @Test
    void aJobThatHasNotEndedIsPending() throws IOException {
        String pending = "{\"submission\":\"mine\",\"state\":\"pending\"}";
        prepare("PUT /v1/jobs/mine", 202, "", pending);
        prepare("GET /v1/jobs/mine", 200, "", pending);
        assertThat(run("job", "submit", file("{}").toString(), "--id", "mine", "--async"), is(ExitCode.OK));
        assertThat(run("job", "status", "mine"), is(ExitCode.PENDING));
    }

    @Test
    void jobWithAnOwnKeyIsRequestedWithItsTeam() {
        prepare("GET /v1/jobs/mine", 202, "", "{\"state\":\"pending\"}");
        prepare("DELETE /v1/jobs/mine", 200, "complete", "{}");
        run("job", "status", "mine", "--team", "lamps");
        run("job", "cancel", "mine", "--team", "lamps");
        assertThat(teams, is(List.of("lamps", "lamps")));
    }

    @Test
    void aJobWithANewIdIsAFirstAttempt() throws IOException {
        prepare("POST /v1/submission-ids?count=1", 200, "", "{\"ids\":[\"new\"]}");
        run("job", "submit", file("{}").toString());
        run("job", "submit", file("{}").toString(), "--id", "mine");
        run("job", "submit", file("{}").toString(), "--id", "mine", "--first-attempt");
        assertThat(firstAttempts, is(List.of("PUT /v1/jobs/new", "PUT /v1/jobs/mine")));
    }

    @Test
    void statusShowsTheSharesAndQuotas() {
        prepare("GET /v1/status", 200, "", """
                {"shares":[{"service":"desk","kind":"find","weight":3.0,"share":0.75,"shortTask":true}],
                 "teams":[{"team":"lamps","weight":1.0,"quotaShare":0.5}]}""");
        assertThat(run("status"), is(ExitCode.OK));
        assertThat(
                text(out), containsString("service  kind  weight  share  short\ndesk     find  3.0     75%    true\n"));
        assertThat(text(out), containsString("team   weight  quota\nlamps  1.0     50%\n"));
    }

    @Test
    void statusOfAnAgentListsItsEndpoints() {
        prepare("GET /v1/endpoints", 200, "", """
                {"running":3,"endpoints":[{"id":"desk-1","service":"desk","host":"10.0.0.7","port":80,
                 "slots":8,"connections":64,"ttlMillis":900}]}""");
        String address = "127.0.0.1:" + entry.getAddress().getPort();
        assertThat(run("status", "--agent", address), is(ExitCode.OK));
        assertThat(text(out), is("""
                endpoint  service  address      slots  connections  time to live ms
                desk-1    desk     10.0.0.7:80  8      64           900
                running tasks: 3
                """));
    }

    @Test
    void errorsArePrintedAsJsonWithTheJsonOption() throws IOException {
        Path settings = file("{\n\"role\": \"guest\"}");
        assertThat(run("settings", "check", settings.toString(), "--json"), is(ExitCode.USAGE));
        assertThat(text(out), containsString("\"exitCode\":2}"));
    }

    @Test
    void statusWaitsForATicketAtEveryProcess() {
        String status =
                "{\"configNumber\":3,\"entries\":[{\"configNumber\":3}],\"agents\":[{\"configNumber\":3},{\"configNumber\":2}]}";
        prepare("GET /v1/status", 200, "", status);
        assertThat(run("status", "--await-ticket", "2"), is(ExitCode.OK));
        assertThat(run("status", "--await-ticket", "3", "--await-millis", "1"), is(ExitCode.PENDING));
        String behind = status.replace("[{\"configNumber\":3}]", "[{\"configNumber\":1}]");
        prepare("GET /v1/status", 200, "", behind);
        assertThat(run("status", "--await-ticket", "2", "--await-millis", "1"), is(ExitCode.PENDING));
        prepare("GET /v1/status", 200, "", status);
        assertThat(run("status", "--json"), is(ExitCode.OK));
        assertThat(text(out), containsString(status));
    }

    @Test
    void invalidSettingsAreAUsageErrorWithTheLine() throws IOException {
        Path settings = file("{\n\"role\": \"guest\"}");
        assertThat(run("settings", "check", settings.toString()), is(ExitCode.USAGE));
        assertThat(text(err), containsString(settings + ":2: role"));
        Path validSettings = Path.of("..", "examples", "kerlann", "entry-rennes.json");
        assertThat(run("settings", "check", validSettings.toString()), is(ExitCode.OK));
    }

    @Test
    void theAuditTrailNamesTicketAuthorAndObjects() {
        prepare(
                "GET /v1/audit?limit=5",
                200,
                "",
                "{\"trailRead\":true,\"trail\":[{\"number\":2,\"when\":\"noon\",\"author\":\"ana\",\"token\":\"ops\","
                        + "\"entry\":\"e-1\",\"changes\":[{\"key\":\"kind/a\"},{\"key\":\"team/b\"}]}],\"events\":[]}");
        assertThat(run("audit", "--limit", "5"), is(ExitCode.OK));
        assertThat(text(out), containsString("2       noon  ana     ops    e-1    kind/a, team/b\n"));
    }

    @Test
    void theHistoryNamesTheObjectsOfEachTicket() {
        prepare(
                "GET /v1/tickets?limit=20",
                200,
                "",
                "{\"tickets\":[{\"number\":2,\"author\":\"ana\",\"objects\":[{\"type\":\"kind\",\"name\":\"a\"},"
                        + "{\"type\":\"team\",\"name\":\"b\",\"removed\":true}]}]}");
        assertThat(run("ticket", "history", "--limit", "20"), is(ExitCode.OK));
        assertThat(text(out), containsString("2       ana     kind/a, -team/b\n"));
    }

    @Test
    void unreachableEntryIsReportedAsCannotConnect() throws IOException {
        try (Socket boundWithoutListening = new Socket()) {
            boundWithoutListening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String address = "127.0.0.1:" + boundWithoutListening.getLocalPort();
            assertThat(
                    new CommandLine(stream(out), stream(err)).run("job", "cancel", "x", "--entry", address),
                    is(ExitCode.CANNOT_CONNECT));
        }
    }

    /** The parameters are named by the entry; another name would be ignored there. */
    @Test
    void explainAsksTheMetricsAddress() {
        String query =
                "host=h&path=%2Fq%2F&estimateMillis=86&tasks=8&milliCores=5500&memoryMb=0&accelerators=0&affinity=r1";
        prepare("GET /explain?" + query, 200, "", "{\"queue\":\"q\"}");
        String address = "127.0.0.1:" + entry.getAddress().getPort();

        ExitCode code = run(
                "explain",
                "--metrics",
                address,
                "--host",
                "h",
                "--path",
                "/q/",
                "--estimate-millis",
                "86",
                "--tasks",
                "8",
                "--milli-cores",
                "5500",
                "--affinity",
                "r1",
                "--json");

        assertThat(code, is(ExitCode.OK));
        assertThat(out.toString(StandardCharsets.UTF_8), is("{\"queue\":\"q\"}\n"));
    }

    private ExitCode run(String... words) {
        String address = "127.0.0.1:" + entry.getAddress().getPort();
        List<String> all = new ArrayList<>(Arrays.asList(words));
        if (words.length > 1 || Arrays.equals(words, new String[] {"status"})) {
            String token = directory.resolve("token").toString();
            all.addAll(List.of("--entry", address, "--operators", address, "--token-file", token));
        }
        return new CommandLine(stream(out), stream(err)).run(all.toArray(String[]::new));
    }

    private void respond(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String call = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        Optional.ofNullable(exchange.getRequestHeaders().getFirst("Knapweedmount-Team"))
                .ifPresent(teams::add);
        if ("true".equals(exchange.getRequestHeaders().getFirst("Knapweedmount-First-Attempt"))) {
            firstAttempts.add(call);
        }
        requests.add(call + " " + exchange.getRequestHeaders().getFirst("Authorization") + " " + body);
        PreparedResponse prepared = responses.getOrDefault(call, new PreparedResponse(404, "", "text/plain", ""));
        exchange.getResponseHeaders().add("Content-Type", prepared.contentType);
        if (!prepared.outcome.isEmpty()) {
            exchange.getResponseHeaders().add("Knapweedmount-Outcome", prepared.outcome);
        }
        byte[] bytes = prepared.body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(prepared.status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void prepare(String call, int status, String outcome, String body) {
        responses.put(call, new PreparedResponse(status, outcome, "text/plain", body));
    }

    private Path file(String content) throws IOException {
        return Files.writeString(Files.createTempFile(directory, "file", ".json"), content);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
