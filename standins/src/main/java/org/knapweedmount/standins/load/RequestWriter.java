package org.knapweedmount.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.vertx.core.buffer.Buffer;
import org.knapweedmount.api.Resources;
import org.knapweedmount.standins.support.JsonHttp;

/** Static methods that create the paths and bodies of requests. */
final class RequestWriter {
    private static final double MICROS_PER_MILLI = 1_000;

    private RequestWriter() {}

    private record Job(String team, String service, boolean atMostOnce, List<Task> tasks) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Task(
            String kind,
            String method,
            String path,
            String contentType,
            String body,
            int declaredMillis,
            Resources resources) {}

    /** Returns the path of a task on the endpoint. */
    static String taskPath(PlannedRequest request, int index) {
        LoadFlow flow = request.flow();
        double runMillis = request.tasks().get(index).runMicros() / MICROS_PER_MILLI;
        String path = String.format(Locale.ROOT, "/%s?run=%.3f", flow.kind(), runMillis);
        Resources use = flow.use();
        if (use.equals(Resources.NONE)) {
            return path;
        }
        return path + "&kind=" + flow.kind() + "&use=" + use.milliCores() + "," + use.memoryMegabytes() + ","
                + use.accelerators();
    }

    /** Returns the path of a single request on the entry. */
    static String singlePath(PlannedRequest request) {
        return "/v1/services/" + request.flow().service() + taskPath(request, 0);
    }

    /** Returns the request body of a job. */
    static Buffer job(PlannedRequest request) {
        LoadFlow flow = request.flow();
        Resources declared = flow.declared().equals(Resources.NONE) ? null : flow.declared();
        List<Task> tasks = new ArrayList<>();
        for (int i = 0; i < request.tasks().size(); i++) {
            int declaredMillis = request.tasks().get(i).declaredMillis();
            tasks.add(new Task(
                    flow.kind(),
                    "POST",
                    taskPath(request, i),
                    "text/plain",
                    request.body(i),
                    declaredMillis,
                    declared));
        }
        return JsonHttp.encode(new Job(flow.team(), flow.service(), false, tasks));
    }
}
