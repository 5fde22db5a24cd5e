package org.knapweedmount.standins.replay;

import java.io.IOException;
import java.util.List;
import java.util.Random;

import org.knapweedmount.api.ParseException;
import org.tinylog.Logger;

/** Main class of the replay tool, which compares the response times of a measured run with those of other policies. */
public final class ReplayMain {
    private static final int FAILURE_EXIT_CODE = 1;

    private ReplayMain() {}

    /**
     * Reads a trace and prints a table.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        ReplayOptions options = new ReplayOptions();
        options.parseOrExit("standin replay", args);
        try {
            System.out.print(table(options, TraceReader.read(options.trace())));
        } catch (IOException | ParseException e) {
            Logger.error("cannot read the trace: {}", e.getMessage());
            System.exit(FAILURE_EXIT_CODE);
        }
    }

    private static String table(ReplayOptions options, List<TracedRequest> requests) {
        List<Arrival> arrivals = requests.stream().map(TracedRequest::arrival).toList();
        ResponseTable table = new ResponseTable(arrivals, options.fleet(), options.skipMicros());
        long[] measured =
                requests.stream().mapToLong(TracedRequest::responseMicros).toArray();
        table.addRow("measured", measured);
        for (Policy policy : Policy.values()) {
            table.addRow(policy.text(), policy.responseTimes(arrivals, options.fleet(), new Random(options.seed())));
        }
        return table.text();
    }
}
