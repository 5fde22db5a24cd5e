package org.knapweedmount.core.agent;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
import org.knapweedmount.core.metric.Counters;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class SealsTest {
    private static final int MAX_SEALS = 4;
    private static final int ISSUERS = 3;
    private static final int SEQUENCES = 40;

    private final Set<Incarnation> linked = new HashSet<>();
    private final Counters<AgentCounter> counters = new Counters<>(AgentCounter.class);

    @Test
    void lowerHalfOfTheSealsOfTheIssuerWithMostSealsIsFoldedIntoABound() {
        Seals seals = seals();
        List.of(2, 5, 9).forEach(sequence -> seals.seal(id(1, sequence)));
        seals.seal(id(2, 5));

        assertThat(seals.seal(id(2, 6)), is(true));

        assertThat(sealedOf(seals, 1, 10), is("1 2 3 4 5 9"));
        assertThat(sealedOf(seals, 2, 10), is("5 6"));
        assertThat(seals.size(), is(3));
        assertThat(counters.value(AgentCounter.FOLDED_SEALS), is(2L));
    }

    @Test
    void sealsOfALinkedIssuerAreKeptWhileAnotherHasAny() {
        linked.add(issuer(1));
        Seals seals = seals();
        seals.issued(id(1, 100));
        List.of(2, 5, 9).forEach(sequence -> seals.seal(id(1, sequence)));
        seals.seal(id(2, 5));

        assertThat(seals.seal(id(2, 6)), is(true));

        assertThat(sealedOf(seals, 1, 10), is("2 5 9"));
        assertThat(sealedOf(seals, 2, 10), is("1 2 3 4 5 6"));
    }

    @Test
    void idNotKnownToBeIssuedByALinkedIssuerRaisesNoBound() {
        linked.add(issuer(1));
        Seals seals = seals();
        seals.issued(id(1, 3));
        List.of(2, 30, 31, 32).forEach(sequence -> seals.seal(id(1, sequence)));

        assertThat(seals.seal(id(1, 33)), is(true));
        assertThat(sealedOf(seals, 1, 40), is("1 2 30 31 32 33"));
        assertThat(seals.seal(id(1, 34)), is(false));
        assertThat(sealedOf(seals, 1, 40), is("1 2 30 31 32 33"));
    }

    @Test
    void sealBeyondTheMaximumNumberOfIssuersIsRefusedAndEntriesWithoutSealsMakeRoom() {
        Seals seals = new Seals(Seals.MAX_ISSUERS, linked::contains, counters);
        seals.issued(id(0, 1));
        for (int i = 1; i <= Seals.MAX_ISSUERS; i++) {
            assertThat(seals.seal(id(i, 1)), is(true));
        }

        assertThat(seals.seal(id(Seals.MAX_ISSUERS + 1, 1)), is(false));
    }

    @Property(tries = 500, seed = "20260102", edgeCases = EdgeCasesMode.NONE)
    void sealedSubmissionsStaySealedInBoundedMemory(@ForAll("choices") List<Integer> choices) {
        Seals seals = seals();
        Set<SubmissionId> certain = new HashSet<>();
        Map<Integer, Long> issued = new HashMap<>();
        linked.clear();
        linked.add(issuer(0));

        for (int choice : choices) {
            int issuer = choice / 8 % ISSUERS;
            SubmissionId id = id(issuer, 1 + choice / 8 / ISSUERS % SEQUENCES);
            switch (choice % 8) {
                case 0 -> changeLink(issuer);
                case 1 -> {
                    seals.issued(id);
                    issued.merge(issuer, id.sequence(), Math::max);
                }
                default -> seal(seals, id, certain);
            }
            certain.forEach(known -> assertThat(seals.contains(known), is(true)));
            assertThat(seals.size(), is(lessThanOrEqualTo(MAX_SEALS)));
        }
        for (long sequence = issued.getOrDefault(0, 0L) + 1; sequence <= SEQUENCES; sequence++) {
            assertThat(seals.contains(id(0, sequence)), is(certain.contains(id(0, sequence))));
        }
    }

    /** Links or unlinks an issuer; issuer 0 always stays linked. */
    private void changeLink(int issuer) {
        if (issuer > 0 && !linked.remove(issuer(issuer))) {
            linked.add(issuer(issuer));
        }
    }

    private void seal(Seals seals, SubmissionId id, Set<SubmissionId> certain) {
        if (seals.seal(id)) {
            certain.add(id);
        } else {
            long ofLinked = certain.stream()
                    .filter(known -> linked.contains(known.issuer()))
                    .count();
            assertThat("seals of linked issuers", ofLinked, is(greaterThanOrEqualTo((long) MAX_SEALS)));
        }
    }

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Arbitraries.integers().between(0, 1_000_000).list().ofMinSize(1).ofMaxSize(120);
    }

    private Seals seals() {
        return new Seals(MAX_SEALS, linked::contains, counters);
    }

    private static String sealedOf(Seals seals, int issuer, int limit) {
        StringBuilder sealed = new StringBuilder();
        for (int sequence = 1; sequence <= limit; sequence++) {
            if (seals.contains(id(issuer, sequence))) {
                sealed.append(sealed.isEmpty() ? "" : " ").append(sequence);
            }
        }
        return sealed.toString();
    }

    private static Incarnation issuer(int number) {
        return new Incarnation("entry-3", number);
    }

    private static SubmissionId id(int issuer, long sequence) {
        return new SubmissionId(issuer(issuer), sequence, 1);
    }
}
