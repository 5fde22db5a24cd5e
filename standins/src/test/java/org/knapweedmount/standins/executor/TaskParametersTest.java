package org.knapweedmount.standins.executor;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TaskParametersTest {
    @Test
    void readsFractionsOfAMillisecond() throws ParseException {
        assertThat(TaskParameters.parse("12.5", null, null), is(new TaskParameters(12_500, "", Resources.NONE)));
    }

    @Test
    void readsTheUseOfAWorker() throws ParseException {
        TaskParameters expected = new TaskParameters(0, "render", new Resources(500, 64, 1));
        assertThat(TaskParameters.parse(null, "render", "500,64,1"), is(expected));
    }

    @Test
    void rejectsMalformedParameters() {
        for (String run : new String[] {"", "x", "-1", "1e9", "NaN"}) {
            assertThrows(ParseException.class, () -> TaskParameters.parse(run, null, null), run);
        }
        for (String use : new String[] {"", "1,2", "1,2,-3", "1,2,3,4"}) {
            assertThrows(ParseException.class, () -> TaskParameters.parse(null, "k", use), use);
        }
    }
}
