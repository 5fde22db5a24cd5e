package org.knapweedmount.standins.bench;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerReport;

/**
 * Measures the processor time, messages and bytes of entries and agents, and how they grow with the size of a site.
 *
 * <p>Only the code of decisions and of the wire format is measured; sockets, HTTP and logs are not.
 */
public final class SiteCostMain {
    private static final int WARM_UP_MILLIS = 6_000;
    private static final double LOOKUPS_PER_WORKER = 2.67;
    private static final double MATCHES_PER_WORKER = 0.485;
    private static final double HOLDS_PER_WORKER = 7.78;
    private static final int BYTES_PER_KB = 1_000;

    private SiteCostMain() {}

    /**
     * Prints a line for each site.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        SiteCostOptions options = new SiteCostOptions();
        options.parseOrExit("standin site-cost", args);
        System.out.println(
                "                 jobs/s on time refused | an entry, each second:        | an agent, each second:");
        System.out.println(
                "entries agents                  per run |  ms   us/job  sent  KB sent   |  ms  reports  ends  sent  KB sent");
        measure(options.entries().get(0), options.agents().get(0), options); // compiles the code
        for (int site = 0; site < options.entries().size(); site++) {
            System.out.println(
                    measure(options.entries().get(site), options.agents().get(site), options));
        }
    }

    private static String measure(int entries, int agents, SiteCostOptions options) {
        SiteModel site = new SiteModel(entries, agents);
        double workers = agents * options.load();
        site.submit("lookups", LOOKUPS_PER_WORKER * workers, 8, 86);
        site.submit("matches", MATCHES_PER_WORKER * workers, 4, 1_286);
        site.submit("holds", HOLDS_PER_WORKER * workers, 2, 286);
        site.time().run(WARM_UP_MILLIS);
        site.reset();
        site.time().run((double) TimeUnit.SECONDS.toMillis(options.seconds()));
        double entrySeconds = (double) entries * options.seconds();
        double agentSeconds = (double) agents * options.seconds();
        RoleCost entry = site.entries();
        RoleCost agent = site.agents();
        return String.format(
                Locale.ROOT,
                "%7d %6d %7.0f %7.3f %7.3f | %5.1f %6.0f %6.0f %7.1f    | %5.2f %6.0f %6.0f %6.0f %7.1f",
                entries,
                agents,
                (double) site.answered() / options.seconds(),
                site.onTimeFraction(),
                site.refusedFraction(),
                entry.nanos() / entrySeconds / TimeUnit.MILLISECONDS.toNanos(1),
                (double) entry.nanos() / site.answered() / TimeUnit.MICROSECONDS.toNanos(1),
                entry.messages() / entrySeconds,
                entry.bytes() / entrySeconds / BYTES_PER_KB,
                agent.nanos() / agentSeconds / TimeUnit.MILLISECONDS.toNanos(1),
                agent.sent(WorkerReport.class) / agentSeconds,
                agent.sent(RunsEnded.class) / agentSeconds,
                agent.messages() / agentSeconds,
                agent.bytes() / agentSeconds / BYTES_PER_KB);
    }
}
