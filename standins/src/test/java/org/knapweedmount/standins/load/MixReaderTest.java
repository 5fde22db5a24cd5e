package org.knapweedmount.standins.load;

import java.util.List;
import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class MixReaderTest {
    private static final String REQUIRED =
            "\"name\":\"a\",\"service\":\"s\",\"kind\":\"k\",\"team\":\"t\",\"share\":1,\"run\":\"fixed(5)\"";

    @Test
    void readsAllFieldsAndComments() throws ParseException {
        String text = "{\"flows\":[ // a burst\n {" + REQUIRED + ",\"jobTasks\":20,\"declaredSigma\":0.5,"
                + "\"fromSecond\":1,\"toSecond\":2,"
                + "\"declared\":{\"milliCores\":1,\"memoryMegabytes\":2,\"accelerators\":3},"
                + "\"use\":{\"milliCores\":4,\"memoryMegabytes\":5,\"accelerators\":6}}]}";
        LoadFlow expected = new LoadFlow(
                "a",
                "s",
                "k",
                "t",
                1,
                new RunTimeDistribution(RunTimeShape.FIXED, List.of(5.0)),
                20,
                OptionalDouble.of(0.5),
                1,
                2,
                new Resources(1, 2, 3),
                new Resources(4, 5, 6));
        assertThat(MixReader.parse(text), is(List.of(expected)));
    }

    @Test
    void theCommandLineAndTheMixGiveTheSameFlow() throws ParseException {
        assertThat(
                LoadFlow.parse("a:s:k:t:1:fixed(5)", 1, OptionalDouble.empty()),
                is(MixReader.parse("{\"flows\":[{" + REQUIRED + "}]}").get(0)));
    }

    @Test
    void rejectsInvalidMixes() {
        String[] bad = {
            "",
            "{}",
            "{\"flows\":[]}",
            "{\"flows\":[{\"name\":\"a\"}]}",
            "{\"flows\":[{" + REQUIRED + ",\"jobTask\":1}]}",
            "{\"flows\":[{" + REQUIRED + ",\"jobTasks\":0}]}",
            "{\"flows\":[{" + REQUIRED.replace("\"share\":1", "\"share\":0") + "}]}"
        };
        for (String text : bad) {
            assertThrows(ParseException.class, () -> MixReader.parse(text), text);
        }
    }

    @Test
    void rejectsInvalidFlows() {
        for (String text : new String[] {"a", "a:s:k:t:x:fixed(5)", "a:s:k:t:0:fixed(5)", "a:s:k:t:1:fixed"}) {
            assertThrows(ParseException.class, () -> LoadFlow.parse(text, 1, OptionalDouble.empty()), text);
        }
    }
}
