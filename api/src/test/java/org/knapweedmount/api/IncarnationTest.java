package org.knapweedmount.api;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class IncarnationTest {
    private static final String LONGEST_NAME = "a".repeat(64);

    @Test
    void textFormHasSixteenHexadecimalDigits() throws ParseException {
        Incarnation incarnation = new Incarnation("entry-1", 255);

        assertThat(incarnation.toString(), is("entry-1~00000000000000ff"));
        assertThat(new Incarnation("entry-1", -1).toString(), is("entry-1~ffffffffffffffff"));
        assertThat(Incarnation.parse(incarnation.toString()), is(incarnation));
    }

    @Test
    void nameHasLettersDigitsAndHyphens() {
        assertThat(Incarnation.isName("Edge-09"), is(true));
        assertThat(Incarnation.isName(LONGEST_NAME), is(true));
        assertThat(Incarnation.isName(LONGEST_NAME + "a"), is(false));
        assertThat(Incarnation.isName(""), is(false));
        assertThat(Incarnation.isName("entry_1"), is(false));
        assertThat(Incarnation.isName("entré"), is(false));
    }

    @Test
    void incarnationsAreEqualIfNameAndNonceAre() {
        Incarnation incarnation = new Incarnation("entry-1", 7);

        assertThat(new Incarnation("entry-1", 7), is(incarnation));
        assertThat(new Incarnation("entry-1", 8), is(not(incarnation)));
        assertThat(new Incarnation("entry-2", 7), is(not(incarnation)));
        assertThat(Set.of(incarnation).contains(new Incarnation("entry-1", 7)), is(true));
        assertThat(new HashSet<>(Set.of(incarnation, new Incarnation("entry-1", 8))), hasSize(2));
    }
}
