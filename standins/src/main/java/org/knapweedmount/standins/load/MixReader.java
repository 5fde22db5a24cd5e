package org.knapweedmount.standins.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

/** Reads the flows of a load from a file in JSON with comments. */
final class MixReader {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    private MixReader() {}

    private record Mix(List<Fields> flows) {}

    /** A flow as written in the file; missing fields are null. */
    private record Fields(
            String name,
            String service,
            String kind,
            String team,
            Double share,
            String run,
            Integer jobTasks,
            Double declaredSigma,
            Double fromSecond,
            Double toSecond,
            Resources declared,
            Resources use) {

        LoadFlow flow() throws ParseException {
            if (name == null || service == null || kind == null || team == null || share == null || run == null) {
                throw new ParseException("a flow must have name, service, kind, team, share and run: " + this);
            }
            if (share <= 0 || (jobTasks != null && jobTasks < 1)) {
                throw new ParseException("share must be greater than 0 and jobTasks at least 1: " + this);
            }
            return new LoadFlow(
                    name,
                    service,
                    kind,
                    team,
                    share,
                    RunTimeDistribution.parse(run),
                    orElse(jobTasks, 1),
                    declaredSigma == null ? OptionalDouble.empty() : OptionalDouble.of(declaredSigma),
                    orElse(fromSecond, 0.0),
                    orElse(toSecond, Double.MAX_VALUE),
                    orElse(declared, Resources.NONE),
                    orElse(use, Resources.NONE));
        }

        private static <T> T orElse(T value, T otherwise) {
            return value == null ? otherwise : value;
        }
    }

    static List<LoadFlow> read(Path file) throws ParseException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new ParseException(file + ": cannot read the mix: " + e.getMessage(), e);
        }
    }

    static List<LoadFlow> parse(String text) throws ParseException {
        Mix mix = mix(text);
        if (mix.flows == null || mix.flows.isEmpty()) {
            throw new ParseException("the mix must have at least one flow");
        }
        List<LoadFlow> flows = new ArrayList<>();
        for (Fields fields : mix.flows) {
            flows.add(fields.flow());
        }
        return flows;
    }

    private static Mix mix(String text) throws ParseException {
        try {
            return MAPPER.readValue(text, Mix.class);
        } catch (JsonProcessingException e) {
            throw new ParseException("the mix is not valid JSON or has an unexpected field: " + e.getMessage(), e);
        }
    }
}
