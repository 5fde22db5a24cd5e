package org.knapweedmount.daemon.ticket;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.api.ParseException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class OperatorTokensTest {
    @Test
    void findsTheNameOfAToken() throws Exception {
        OperatorTokens tokens = OperatorTokens.parse("# tokens\n\nana 0123456789abcdef\nfedcba9876543210\n");

        assertThat(tokens.find("Bearer 0123456789abcdef"), is(Optional.of("ana")));
        assertThat(tokens.find("Bearer fedcba9876543210"), is(Optional.of("operator")));
        assertThat(tokens.find("Bearer 0123456789abcde"), is(Optional.empty()));
        assertThat(tokens.find("0123456789abcdef"), is(Optional.empty()));
        assertThat(tokens.find(null), is(Optional.empty()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "# none\n", "short", "a b 0123456789abcdef"})
    void invalidFilesAreRejected(String text) {
        assertThrows(ParseException.class, () -> OperatorTokens.parse(text));
    }
}
