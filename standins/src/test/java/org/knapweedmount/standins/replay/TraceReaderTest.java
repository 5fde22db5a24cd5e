package org.knapweedmount.standins.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.knapweedmount.api.ParseException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TraceReaderTest {
    private static final String HEADER = "flow,arrivalMicros,tasks,runMicros,responseMicros,ending,submission\n";

    @TempDir
    Path folder;

    @Test
    void readsCompleteRequestsInOrderOfArrival() throws IOException, ParseException {
        Path file = write("a,20,1,5,9,complete,x\nb,10,1,6,8,complete,y\nc,15,1,7,9,not-run,z\n");

        assertThat(
                TraceReader.read(file),
                is(List.of(new TracedRequest(new Arrival(10, 6), 8), new TracedRequest(new Arrival(20, 5), 9))));
    }

    @Test
    void rejectsMalformedLines() throws IOException {
        Path file = write("a,20,1\n");

        assertThrows(ParseException.class, () -> TraceReader.read(file));
    }

    private Path write(String lines) throws IOException {
        return Files.writeString(folder.resolve("trace.csv"), HEADER + lines);
    }
}
