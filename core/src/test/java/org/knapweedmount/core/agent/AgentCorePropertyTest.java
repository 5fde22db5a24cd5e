package org.knapweedmount.core.agent;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;

/** Random messages, link losses, duplicate starts, ends of tasks and changes, checked by {@link AgentModel}. */
class AgentCorePropertyTest {
    private static final int MAX_CHOICE = 1_000_000;
    private static final int MIN_CHOICES = 20;
    private static final int MAX_CHOICES = 800;

    @Property(tries = 200, seed = "20260101", edgeCases = EdgeCasesMode.NONE)
    void noTaskRunsTwiceAndEveryAnswerIsCorrect(@ForAll("choices") List<Integer> choices) {
        AgentModel model = new AgentModel();

        choices.forEach(model::applyChoice);

        model.recoverAndCheck();
    }

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Arbitraries.integers()
                .between(0, MAX_CHOICE)
                .withDistribution(RandomDistribution.uniform())
                .list()
                .ofMinSize(MIN_CHOICES)
                .ofMaxSize(MAX_CHOICES)
                .withSizeDistribution(RandomDistribution.uniform());
    }
}
