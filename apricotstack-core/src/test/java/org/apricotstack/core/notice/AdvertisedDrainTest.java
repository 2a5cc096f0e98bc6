package org.apricotstack.core.notice;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdvertisedDrainTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1|DRAINING",
                " 1 |DRAINING",
                "true|DRAINING",
                "0.5|DRAINING",
                "1e300|DRAINING",
                "0|SERVING",
                "0.0|SERVING",
                "0e9|SERVING",
                "false|SERVING",
                "''|UNREADABLE",
                "-1|UNREADABLE",
                "soon|UNREADABLE",
                "NaN|UNREADABLE",
                "1 s|UNREADABLE",
                "Thu, 03 Dec 2026 10:00:00 GMT|UNREADABLE",
                "0;1|DRAINING",
                "1;1|DRAINING",
                "soon;0|SERVING",
                "0,1|DRAINING"
            })
    void parsesValues(String values, AdvertisedDrain expected) {
        assertThat(AdvertisedDrain.parse(Arrays.asList(values.split(";", -1)), true))
                .isEqualTo(expected);
        assertThat(AdvertisedDrain.parse(Arrays.asList(values.split(";", -1)), false))
                .isEqualTo(expected);
    }

    @Test
    void parsesAMissingFieldAsServingOnlyInAnAuthenticResponse() {
        assertThat(AdvertisedDrain.parse(List.of(), true)).isEqualTo(AdvertisedDrain.SERVING);
        assertThat(AdvertisedDrain.parse(List.of(), false)).isEqualTo(AdvertisedDrain.ABSENT);
    }
}
