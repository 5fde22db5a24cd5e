package org.knapweedmount.standins.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.knapweedmount.api.ParseException;

/** Reads the complete requests of a trace that the load tool has written. */
final class TraceReader {
    private static final int COLUMNS = 7;
    private static final int ARRIVAL = 1;
    private static final int RUN = 3;
    private static final int RESPONSE = 4;
    private static final int ENDING = 5;
    private static final String COMPLETE = "complete";

    private TraceReader() {}

    /**
     * Reads a trace.
     *
     * @param file the file, with a header line
     * @return the complete requests by rising arrival time
     * @throws IOException if the file cannot be read
     * @throws ParseException if a line has another form
     */
    static List<TracedRequest> read(Path file) throws IOException, ParseException {
        List<String> lines = Files.readAllLines(file);
        List<TracedRequest> requests = new ArrayList<>();
        for (String line : lines.subList(Math.min(1, lines.size()), lines.size())) {
            String[] columns = line.split(",", -1);
            if (columns.length != COLUMNS) {
                throw new ParseException("'" + line + "' has not " + COLUMNS + " columns");
            }
            if (columns[ENDING].equals(COMPLETE)) {
                requests.add(request(columns));
            }
        }
        requests.sort(Comparator.comparingLong(request -> request.arrival().atMicros()));
        return requests;
    }

    private static TracedRequest request(String[] columns) throws ParseException {
        try {
            Arrival arrival = new Arrival(Long.parseLong(columns[ARRIVAL]), Long.parseLong(columns[RUN]));
            return new TracedRequest(arrival, Long.parseLong(columns[RESPONSE]));
        } catch (NumberFormatException e) {
            throw new ParseException("a time is no whole number: " + e.getMessage(), e);
        }
    }
}
