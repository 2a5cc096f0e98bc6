package org.apricotstack.core.ratelimit;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdvertisedLimitTest {

    private static AdvertisedLimit parse(String... values) {
        return AdvertisedLimit.parse(List.of(values));
    }

    @Test
    void parsesAResponseWithoutTheFieldAsNoLimit() {
        assertThat(parse()).isEqualTo(AdvertisedLimit.ABSENT);
    }

    @ParameterizedTest
    @CsvSource({"1.7, 1.7", "0, 0", "0.0, 0", "100, 100", " 3 , 3", "5., 5", "1e2, 100", "0.3, 0.3"})
    void parsesADecimalNumber(String value, double perSecond) {
        assertThat(parse(value)).isEqualTo(new AdvertisedLimit(AdvertisedLimit.Kind.STATED, perSecond));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", " ", "-1", "-0", "NaN", "Infinity", "5/s", "5 rps", "0x10", "ten", "1d", ".", "+1", "--"})
    void parsesOtherValuesAsUnreadable(String value) {
        assertThat(parse(value)).isEqualTo(AdvertisedLimit.UNREADABLE);
    }

    @ParameterizedTest
    @ValueSource(strings = {"1e300", "1e999999999", "100000", "99999999999999999999999999"})
    void parsesALimitBeyondAnyUpstreamAsNoLimit(String value) {
        assertThat(parse(value)).isEqualTo(AdvertisedLimit.ABSENT);
    }

    @Test
    void usesTheLowestOfSeveralValues() {
        assertThat(parse("5", "3").perSecond()).isEqualTo(3);
        assertThat(parse("2, 5").perSecond()).isEqualTo(2);
        assertThat(parse("soon", "4").perSecond()).isEqualTo(4);
        assertThat(parse("", "")).isEqualTo(AdvertisedLimit.UNREADABLE);
    }
}
