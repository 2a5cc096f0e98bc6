package org.apricotstack.core.notice;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdvertisedBackOffTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "3|3000",
                " 3 |3000",
                "0.25|250",
                "0.0001|1",
                "1e1|10000",
                "3600|3600000",
                "86400|3600000",
                "1e300|3600000",
                "1;3|3000",
                "3;1|3000",
                "1, 3|3000",
                "soon;2|2000"
            })
    void parsesSeconds(String values, long expectedMillis) {
        assertThat(AdvertisedBackOff.parse(Arrays.asList(values.split(";", -1))))
                .isEqualTo(new AdvertisedBackOff(AdvertisedBackOff.Kind.STATED, expectedMillis));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "0.0", "0e5"})
    void parsesZeroAsNoBackOff(String value) {
        assertThat(AdvertisedBackOff.parse(List.of(value))).isEqualTo(AdvertisedBackOff.ABSENT);
    }

    @Test
    void parsesAMissingFieldAsNoBackOff() {
        assertThat(AdvertisedBackOff.parse(List.of())).isEqualTo(AdvertisedBackOff.ABSENT);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "soon", "3 s", "NaN", "true", "Thu, 03 Dec 2026 10:00:00 GMT"})
    void parsesOtherValuesAsUnreadable(String value) {
        assertThat(AdvertisedBackOff.parse(List.of(value))).isEqualTo(AdvertisedBackOff.UNREADABLE);
    }
}
