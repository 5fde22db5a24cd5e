package org.knapweedmount.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskSpec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class JobReaderTest {
    private final JobReader reader = new JobReader(2);

    @Test
    void readsEveryField() throws Exception {
        JobRequest job = read("""
                {"team": "lamps", "service": "stock", "atMostOnce": true, "tasks": [
                  {"kind": "lookup", "method": "GET", "path": "/a?b=c", "declaredMillis": 80},
                  {"path": "/b", "contentType": "x/y", "bodyBase64": "/wA=",
                   "resources": {"milliCores": 500, "memoryMegabytes": 64, "accelerators": 1}}]}
                """);

        TaskSpec first = new TaskSpec("lookup", "GET", "/a?b=c", "", Payload.EMPTY, 80, Resources.NONE);
        Payload body = Payload.of(new byte[] {(byte) 0xff, 0});
        TaskSpec second = new TaskSpec("", "POST", "/b", "x/y", body, 0, new Resources(500, 64, 1));
        assertThat(job, is(new JobRequest("stock", new JobSpec("lamps", true, List.of(first, second)))));
    }

    @Test
    void textBodyIsSentInUtf8() throws Exception {
        TaskSpec task = read("{'service':'s','tasks':[{'path':'/','body':'é'}]}".replace('\'', '"'))
                .job()
                .tasks()
                .get(0);

        assertThat(task.body(), is(Payload.of("é")));
        assertThat(task.contentType(), is(HttpResponse.TEXT));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "[]|the document: [] is not allowed; expected an object",
                "{|line 1",
                "{'service':'s','tasks':[{'path':'/'}],'task':1}|task: unknown field; allowed are [atMostOnce, service",
                "{'service':'s','service':'s','tasks':[{'path':'/'}]}|service",
                "{'tasks':[{'path':'/'}]}|service: missing; expected a text",
                "{'service':'a/b','tasks':[{'path':'/'}]}|service: \"a/b\" is not allowed; expected 1 to 64 letters",
                "{'service':'s','tasks':[]}|tasks: 0 objects; expected a list of 1 to 2 objects",
                "{'service':'s','tasks':[{'path':'/'},{'path':'/'},{'path':'/'}]}|tasks: 3 objects; expected",
                "{'service':'s','tasks':[{'path':'/'},{'path':'x'}]}|tasks[1].path: \"x\" is not allowed",
                "{'service':'s','tasks':[{'path':'/ x'}]}|tasks[0].path",
                "{'service':'s','tasks':[{'path':'/','method':'get'}]}|tasks[0].method: \"get\" is not allowed; expected",
                "{'service':'s','tasks':[{'path':'/','declaredMillis':1.5}]}|tasks[0].declaredMillis: 1.5 is not",
                "{'service':'s','tasks':[{'path':'/','declaredMillis':-1}]}|a whole number from 0 to 86400000",
                "{'service':'s','tasks':[{'path':'/','body':'a','bodyBase64':'YQ=='}]}|either body or bodyBase64",
                "{'service':'s','tasks':[{'path':'/','bodyBase64':'*'}]}|Base64",
                "{'service':'s','tasks':[{'path':'/','resources':{'gpus':1}}]}|tasks[0].resources.gpus: unknown field",
                "{'service':'s','tasks':[{'path':'/','contentType':'a\\r\\nb'}]}|tasks[0].contentType",
            })
    void errorNamesTheFieldAndWhatIsAllowed(String json, String message) {
        ParseException error = assertThrows(ParseException.class, () -> read(json.replace('\'', '"')));

        assertThat(error.getMessage(), containsString(message));
    }

    private JobRequest read(String json) throws ParseException {
        return reader.read(json.getBytes(StandardCharsets.UTF_8));
    }
}
