package org.apricotstack.adapters.settings;

import java.util.List;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;

/**
 * Settings of one router process.
 *
 * @param host the name of the host
 * @param dataCentre the data centre of the host
 * @param callerAddress the address on which callers are served
 * @param peerAddress the address on which other routers are served
 * @param adminAddress the address on which operators are served
 * @param platformAddresses addresses of the platform, tried in this order
 * @param seedPeers addresses of other routers, from which the configuration is fetched before the roster is known
 * @param adminKeyDigest SHA-256 of the operators' key, lower-case hexadecimal
 * @param bodyMemoryBytes memory for request bodies, in bytes
 * @param timings timings of the protocol between routers
 * @param callerTls TLS files for callers and operators, or {@code null} for none
 * @param peerTls TLS files for other routers, or {@code null} for none
 */
public record RouterSettings(
        HostId host,
        DataCentreId dataCentre,
        Address callerAddress,
        Address peerAddress,
        Address adminAddress,
        List<Address> platformAddresses,
        List<Address> seedPeers,
        String adminKeyDigest,
        long bodyMemoryBytes,
        Timings timings,
        TlsFiles callerTls,
        TlsFiles peerTls) {

    /**
     * Timings of the protocol between routers.
     *
     * @param probeMillis time between probes that this router sends, in milliseconds
     * @param probeTimeoutMillis timeout of a probe, in milliseconds
     * @param suspicionMillis time after which a suspected router is declared dead, in milliseconds
     * @param startWaitMillis how long a new process waits for peers that serve, in milliseconds
     * @param watchMillis maximum duration of a long poll of the platform, in milliseconds
     * @param supervisionMillis time between reconciliations of the engines of owned groups, in milliseconds
     */
    public record Timings(
            long probeMillis,
            long probeTimeoutMillis,
            long suspicionMillis,
            long startWaitMillis,
            long watchMillis,
            long supervisionMillis) {

        /** Defaults for timings that the settings do not state. */
        public static final Timings DEFAULT = new Timings(1_000, 400, 2_000, 2_000, 25_000, 15_000);
    }

    /**
     * Files with keys and certificates in PEM form.
     *
     * @param certificateFile the certificate chain of this process
     * @param keyFile the private key of this process
     * @param trustFile the certificate authorities that are trusted for the other side
     */
    public record TlsFiles(String certificateFile, String keyFile, String trustFile) {}
}
