package org.knapweedmount.standins.load;

import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.ParseException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class RunTimeDistributionTest {
    private static final int SAMPLES = 20_000;

    @Test
    void fixedIsAlwaysTheSame() throws ParseException {
        assertThat(RunTimeDistribution.parse("fixed(0.5)").sampleMicros(new Random(1)), is(500L));
    }

    @Test
    void exponentialHasTheGivenMean() throws ParseException {
        assertThat(samples("exponential(200)").average().orElseThrow(), closeTo(200_000, 6_000));
    }

    @Test
    void lognormalHasTheGivenMedianAndShareOfLongTasks() throws ParseException {
        double belowMedian = samples("lognormal(100,0.8,0,0)")
                .filter(micros -> micros < 100_000)
                .count();
        double longOnes = samples("lognormal(100,0.1,0.02,4000)")
                .filter(micros -> micros == 4_000_000)
                .count();
        assertThat(belowMedian / SAMPLES, closeTo(0.5, 0.02));
        assertThat(longOnes / SAMPLES, closeTo(0.02, 0.005));
    }

    @Test
    void rejectsMalformedDistributions() {
        String[] bad = {"", "fixed", "fixed()", "fixed(1,2)", "fixed(-1)", "uniform(1)", "lognormal(1,2)", "fixed(NaN)"
        };
        for (String text : bad) {
            assertThrows(ParseException.class, () -> RunTimeDistribution.parse(text), text);
        }
    }

    private static LongStream samples(String text) throws ParseException {
        RunTimeDistribution runTime = RunTimeDistribution.parse(text);
        Random random = new Random(1);
        return LongStream.generate(() -> runTime.sampleMicros(random)).limit(SAMPLES);
    }
}
