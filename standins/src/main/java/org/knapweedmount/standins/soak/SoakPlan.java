package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** The faults of a soak, in the order in which they begin. */
final class SoakPlan {
    private static final int ALONE_SHARE = 4;

    private SoakPlan() {}

    /** Draws the faults that the options ask for; a fourth of those that come alone overlap aimed series. */
    static List<Fault> draw(SoakOptions options) {
        long totalMillis = TimeUnit.SECONDS.toMillis(options.seconds());
        List<Fault> alone = Fault.draw(options.seed(), totalMillis);
        if (options.series() == FaultSeries.NONE) {
            return alone;
        }
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; options.series().isAmongOtherFaults() && i < alone.size(); i += ALONE_SHARE) {
            faults.add(alone.get(i));
        }
        Random random = new Random(options.seed());
        for (long millis = 0; millis < totalMillis; millis += pauseMillis(options.series(), random)) {
            faults.addAll(
                    options.series().draw(new FaultSeries.Draw(random, millis, options.entries(), options.agents())));
        }
        faults.sort(Comparator.comparingLong(Fault::millis));
        return faults;
    }

    private static int pauseMillis(FaultSeries series, Random random) {
        boolean fixed = series.minPauseMillis() == series.maxPauseMillis();
        return fixed ? series.minPauseMillis() : random.nextInt(series.minPauseMillis(), series.maxPauseMillis());
    }
}
