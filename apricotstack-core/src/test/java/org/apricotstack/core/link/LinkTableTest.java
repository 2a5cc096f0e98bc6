package org.apricotstack.core.link;

import org.apricotstack.core.id.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LinkTableTest {

    private static final Address FIRST = new Address("10.0.0.1", 8_000);
    private static final Address SECOND = new Address("10.0.0.2", 8_000);

    private final LinkTable links = new LinkTable();

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void losesALinkThatOnlyAnotherRouterHas(boolean silent) {
        assertThat(links.onlyRelayed(FIRST, silent)).isTrue();
        assertThat(links.onlyRelayed(FIRST, silent)).isFalse();
        assertThat(links.isLost(FIRST)).isTrue();
        assertThat(links.isLost(SECOND)).isFalse();
        assertThat(links.lostCount()).isEqualTo(1);
    }

    @Test
    void restoresALinkWithItsFirstDirectConnection() {
        links.onlyRelayed(FIRST, true);
        assertThat(links.connected(FIRST)).isTrue();
        assertThat(links.connected(FIRST)).isFalse();
        assertThat(links.lostCount()).isZero();
    }

    /** Guards against streams that are sent again because one packet was lost. */
    @Test
    void givesUpOpenConnectionsOnlyAfterASecondSilentFailure() {
        assertThat(links.probeFailed(FIRST, true)).isFalse();
        links.onlyRelayed(FIRST, true);
        links.onlyRelayed(FIRST, true);
        assertThat(links.probeFailed(FIRST, true)).isTrue();
        assertThat(links.probeFailed(FIRST, true)).isFalse();
    }

    /** Guards against requests that are given up on connections that go on while new ones are refused. */
    @Test
    void keepsOpenConnectionsOfALinkThatRefusesNewOnes() {
        links.onlyRelayed(FIRST, false);
        assertThat(links.probeFailed(FIRST, false)).isFalse();
        assertThat(links.mayReuse(FIRST, false)).isTrue();
    }

    @Test
    void reusesIdleConnectionsOnlyAsTheLinkAllows() {
        assertThat(links.mayReuse(FIRST, false)).isTrue();
        assertThat(links.mayReuse(FIRST, true)).isFalse();
        links.onlyRelayed(FIRST, true);
        assertThat(links.mayReuse(FIRST, false)).isFalse();
        assertThat(links.mayReuse(FIRST, true)).isTrue();
    }

    @Test
    void remembersUnreachableUpstreamsUntilSomeRouterReachesThem() {
        links.onlyRelayed(FIRST, true);
        assertThat(links.markUnreachable(FIRST)).isTrue();
        assertThat(links.markUnreachable(FIRST)).isFalse();
        assertThat(links.isLost(FIRST)).isFalse();
        assertThat(links.isUnreachable(FIRST)).isTrue();
        links.onlyRelayed(FIRST, true);
        assertThat(links.isUnreachable(FIRST)).isFalse();
        links.markUnreachable(SECOND);
        links.connected(SECOND);
        assertThat(links.unreachableCount()).isZero();
    }

    /** Guards against a flood of tests from a router that has lost the links to thousands of upstreams. */
    @Test
    void testsEachLinkLessOftenTheMoreAreLost() {
        for (int port = 1; port <= 50; port++) {
            links.onlyRelayed(new Address("10.0.0.1", port), true);
        }
        assertThat(links.probeIntervalMillis()).isEqualTo(LinkTable.PROBE_MILLIS);
        for (int port = 1; port <= 5_500; port++) {
            links.onlyRelayed(new Address("10.0.0.1", port), true);
        }
        assertThat(links.probeIntervalMillis()).isEqualTo(55_000);
    }

    @Test
    void forgetsRemovedUpstreams() {
        links.onlyRelayed(FIRST, true);
        links.markUnreachable(SECOND);
        links.forget(FIRST);
        links.forget(SECOND);
        assertThat(links.lostCount()).isZero();
        assertThat(links.unreachableCount()).isZero();
    }
}
