package org.knapweedmount.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** Shows where a request or job would go now, and why; nothing is sent to the queue. */
final class ExplainCommand implements Command {
    @Parameter(names = "--metrics", required = true, description = "Address of the entry's metrics, HOST:PORT")
    private String metrics;

    @Parameter(names = "--host", required = true, description = "Host of the queue")
    private String host;

    @Parameter(names = "--path", required = true, description = "Path of the queue")
    private String path;

    @Parameter(names = "--estimate-millis", required = true, description = "Declared run time of a task, in ms")
    private int estimateMillis;

    @Parameter(names = "--tasks", description = "Number of tasks")
    private int tasks = 1;

    @Parameter(names = "--milli-cores", description = "Cores of a task, in thousandths")
    private int milliCores = 1_000;

    @Parameter(names = "--memory-mb", description = "Memory of a task, in MB")
    private int memoryMb;

    @Parameter(names = "--accelerators", description = "Accelerators of a task")
    private int accelerators;

    @Parameter(names = "--max-per-worker", description = "How many tasks may run on one worker; any number if left out")
    private Integer maxPerWorker;

    @Parameter(names = "--requires", description = "Label that a worker must have")
    private String requires;

    @Parameter(names = "--affinity", description = "Label of the rack that holds the data")
    private String affinity;

    @Parameter(
            names = "--deadline-millis",
            description = "How long the caller waits, in ms; the timeout of the queue if left out")
    private Integer deadlineMillis;

    @Parameter(names = "--id", description = "ID of the job, on which the preferred workers depend")
    private String id;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "Show where a request or job would go now, and why, without sending it";
    }

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        List<String> parameters = new ArrayList<>();
        add(parameters, "host", host);
        add(parameters, "path", path);
        add(parameters, "estimateMillis", estimateMillis);
        add(parameters, "tasks", tasks);
        add(parameters, "milliCores", milliCores);
        add(parameters, "memoryMb", memoryMb);
        add(parameters, "accelerators", accelerators);
        add(parameters, "maxPerWorker", maxPerWorker);
        add(parameters, "requires", requires);
        add(parameters, "affinity", affinity);
        add(parameters, "deadlineMillis", deadlineMillis);
        add(parameters, "id", id);
        ApiRequest request = ApiRequest.of("GET", "/explain?" + String.join("&", parameters));
        return context.printResponse(context.agentApi(metrics).send(request), ExplanationFormatter::format);
    }

    private static void add(List<String> parameters, String name, Object value) {
        if (value != null) {
            parameters.add(name + "=" + URLEncoder.encode(value.toString(), StandardCharsets.UTF_8));
        }
    }
}
