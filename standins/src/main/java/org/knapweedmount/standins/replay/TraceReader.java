package org.knapweedmount.standins.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.knapweedmount.api.ParseException;

/** Reads the complete requests of a trace written by the load generator. */
final class TraceReader {
    private static final int COLUMN_COUNT = 7;
    private static final int ARRIVAL_COLUMN = 1;
    private static final int RUN_COLUMN = 3;
    private static final int RESPONSE_COLUMN = 4;
    private static final int OUTCOME_COLUMN = 5;
    private static final String COMPLETE_OUTCOME = "complete";

    private TraceReader() {}

    /**
     * Reads a trace.
     *
     * @param file the file, with a header line
     * @return the complete requests in the order of their arrival times
     * @throws IOException if the file cannot be read
     * @throws ParseException if a line is malformed
     */
    static List<TracedRequest> read(Path file) throws IOException, ParseException {
        List<String> lines = Files.readAllLines(file);
        List<TracedRequest> requests = new ArrayList<>();
        for (String line : lines.subList(Math.min(1, lines.size()), lines.size())) {
            String[] columns = line.split(",", -1);
            if (columns.length != COLUMN_COUNT) {
                throw new ParseException("'" + line + "': expected " + COLUMN_COUNT
                        + " columns separated by commas, found " + columns.length);
            }
            if (columns[OUTCOME_COLUMN].equals(COMPLETE_OUTCOME)) {
                requests.add(request(columns));
            }
        }
        requests.sort(Comparator.comparingLong(request -> request.arrival().arrivalMicros()));
        return requests;
    }

    private static TracedRequest request(String[] columns) throws ParseException {
        try {
            Arrival arrival = new Arrival(Long.parseLong(columns[ARRIVAL_COLUMN]), Long.parseLong(columns[RUN_COLUMN]));
            return new TracedRequest(arrival, Long.parseLong(columns[RESPONSE_COLUMN]));
        } catch (NumberFormatException e) {
            throw new ParseException("a time must be a whole number of µs: " + e.getMessage(), e);
        }
    }
}
