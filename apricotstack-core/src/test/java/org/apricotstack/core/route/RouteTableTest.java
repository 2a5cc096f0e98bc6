package org.apricotstack.core.route;

import java.util.List;

import org.apricotstack.core.id.ServiceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RouteTableTest {

    private static Route route(String prefix, WeightedService... services) {
        return new Route(
                prefix, "a.example", prefix, RequestKind.SAFE, 1_000, 100, 0, List.of(services), 2, false, false, 0);
    }

    private static WeightedService weighted(String service, int weight) {
        return new WeightedService(new ServiceId(service), weight);
    }

    private final RouteTable table = new RouteTable(List.of(
            route("/a/", weighted("one", 1)), route("/a/b/", weighted("two", 1)), route("/c/", weighted("x", 1))));

    @ParameterizedTest
    @CsvSource({
        "a.example, /a/x, /a/",
        "a.example, /a/b/x, /a/b/",
        "a.example, /a/b, /a/",
        "a.example:8080, /a/b/, /a/b/",
        "A.EXAMPLE, /a/b/c/d?e=/c/f, /a/b/",
        "a.example, /c/?x=/a/b/, /c/",
        "a.example, /d/,",
        "a.example, /,",
        "b.example, /a/,",
        "a.example, /a,"
    })
    void findsTheLongestPrefixOfTheHost(String host, String path, String expected) {
        Route found = table.find(host, path);
        assertThat(found == null ? null : found.prefix()).isEqualTo(expected);
    }

    @Test
    void splitsByWeightAndIsStablePerRequest() {
        Route split = route("/s/", weighted("most", 90), weighted("few", 10), weighted("none", 0));
        int few = 0;
        for (int i = 0; i < 2_000; i++) {
            ServiceId service = split.serviceFor("request-" + i);
            assertThat(service).isEqualTo(split.serviceFor("request-" + i));
            assertThat(service.value()).isNotEqualTo("none");
            few += service.value().equals("few") ? 1 : 0;
        }
        assertThat(few).isBetween(150, 250);
    }
}
