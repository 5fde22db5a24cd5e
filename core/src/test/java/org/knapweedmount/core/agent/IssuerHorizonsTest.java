package org.knapweedmount.core.agent;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.SubmissionId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class IssuerHorizonsTest {
    private static final int MAX_ISSUERS = 3;
    private static final int ISSUERS = 6;
    private static final int SEQUENCES = 30;

    private final IssuerHorizons horizons = new IssuerHorizons(MAX_ISSUERS);

    @Test
    void onlySequencesAboveTheHighestDiscardedOneAreAboveTheHorizon() {
        horizons.discarded(id(1, 5));
        horizons.discarded(id(1, 3));

        assertThat(horizons.isAboveHorizon(id(1, 5)), is(false));
        assertThat(horizons.isAboveHorizon(id(1, 6)), is(true));
        assertThat(horizons.isAboveHorizon(id(2, 1)), is(true));
    }

    @Test
    void evictedHorizonAppliesToIssuersWithoutOne() {
        List.of(1, 2, 3, 4).forEach(issuer -> horizons.discarded(id(issuer, 10 * issuer)));

        assertThat(horizons.isAboveHorizon(id(5, 10)), is(false));
        assertThat(horizons.isAboveHorizon(id(5, 11)), is(true));
    }

    @Property(tries = 500, seed = "20260103", edgeCases = EdgeCasesMode.NONE)
    void discardedSubmissionIsNeverAboveTheHorizon(@ForAll("choices") List<Integer> choices) {
        IssuerHorizons random = new IssuerHorizons(MAX_ISSUERS);
        Set<SubmissionId> discarded = new HashSet<>();
        for (int choice : choices) {
            SubmissionId id = id(choice % ISSUERS, 1 + choice / ISSUERS % SEQUENCES);
            random.discarded(id);
            discarded.add(id);

            discarded.forEach(known -> assertThat(random.isAboveHorizon(known), is(false)));
        }
    }

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Arbitraries.integers().between(0, 1_000_000).list().ofMinSize(1).ofMaxSize(60);
    }

    private static SubmissionId id(int issuer, long sequence) {
        return new SubmissionId(new Incarnation("entry-3", issuer), sequence, 1);
    }
}
