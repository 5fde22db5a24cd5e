package org.knapweedmount.daemon.http;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.core.config.JsonFields;
import org.knapweedmount.core.config.ResourcesFormat;

/** Parses jobs from JSON. */
public final class JobReader {
    private static final Set<String> JOB_FIELDS = Set.of("team", "service", "atMostOnce", "tasks");
    private static final Set<String> TASK_FIELDS =
            Set.of("kind", "method", "path", "contentType", "body", "bodyBase64", "declaredMillis", "resources");
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    private static final Pattern PATH = Pattern.compile("/[!-~&&[^#]]{0,8191}");
    private static final Pattern CONTENT_TYPE = Pattern.compile("[ -~]{0,200}");

    private final int maxTasks;

    /**
     * Creates a reader.
     *
     * @param maxTasks the maximum number of tasks in one job
     */
    public JobReader(int maxTasks) {
        this.maxTasks = maxTasks;
    }

    /**
     * Parses a job.
     *
     * @param json the job in UTF-8
     * @return the job and its service
     * @throws ParseException if a field is unknown, missing or has an invalid value
     */
    public JobRequest read(byte[] json) throws ParseException {
        JsonFields fields = JsonFields.parse(json);
        fields.allowOnly(JOB_FIELDS);
        String team = fields.has("team") ? fields.objectName("team") : CallerHeaders.DEFAULT_TEAM;
        String service = fields.objectName("service");
        boolean atMostOnce = fields.flag("atMostOnce", false);
        List<TaskSpec> tasks = new ArrayList<>();
        for (JsonFields task : fields.objects("tasks", maxTasks)) {
            tasks.add(task(task));
        }
        return new JobRequest(service, new JobSpec(team, atMostOnce, tasks));
    }

    private static TaskSpec task(JsonFields fields) throws ParseException {
        fields.allowOnly(TASK_FIELDS);
        String kind = fields.has("kind") ? fields.objectName("kind") : "";
        String method = fields.optionalText("method").orElse("POST");
        if (!METHODS.contains(method)) {
            throw fields.invalidValue("method", "one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");
        }
        String path = fields.text("path");
        if (!PATH.matcher(path).matches()) {
            throw fields.invalidValue("path", "a slash and up to 8191 printable characters, percent-encoded");
        }
        String contentType = fields.optionalText("contentType").orElse(defaultContentType(fields));
        if (!CONTENT_TYPE.matcher(contentType).matches()) {
            throw fields.invalidValue("contentType", "up to 200 printable characters");
        }
        int declaredMillis = fields.wholeNumber("declaredMillis", 0, CallerHeaders.MAX_DECLARED_MILLIS, 0);
        return new TaskSpec(
                kind,
                method,
                path,
                contentType,
                body(fields),
                declaredMillis,
                ResourcesFormat.read(fields, "resources"));
    }

    private static String defaultContentType(JsonFields fields) {
        if (fields.has("body")) {
            return HttpResponse.TEXT;
        }
        return fields.has("bodyBase64") ? "application/octet-stream" : "";
    }

    private static Payload body(JsonFields fields) throws ParseException {
        if (!fields.has("bodyBase64")) {
            return Payload.of(fields.optionalText("body").orElse(""));
        }
        if (fields.has("body")) {
            throw fields.invalidValue("bodyBase64", "either body or bodyBase64");
        }
        try {
            return Payload.of(Base64.getDecoder().decode(fields.text("bodyBase64")));
        } catch (IllegalArgumentException e) {
            throw fields.invalidValue("bodyBase64", "Base64 as in RFC 4648, section 4");
        }
    }
}
