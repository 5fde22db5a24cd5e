package org.knapweedmount.standins.audit;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import org.knapweedmount.standins.support.Arguments;

/** The command-line options of {@link AuditMain}. */
final class AuditOptions extends Arguments {
    @Parameter(required = true, description = "LOGFILE...")
    private List<String> files = new ArrayList<>();

    List<Path> files() {
        return files.stream().map(Path::of).toList();
    }
}
