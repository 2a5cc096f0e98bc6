package org.apricotstack.adapters.tls;

import javax.net.ssl.SSLException;

import java.io.File;

import io.grpc.netty.GrpcSslContexts;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.apricotstack.adapters.settings.RouterSettings.TlsFiles;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/** Creates TLS contexts from files. */
public final class TlsContexts {

    private TlsContexts() {}

    /**
     * Creates the context of the server for peers, which requires a client certificate of a trusted authority.
     *
     * @param files keys and certificates, or {@code null} for no TLS
     * @return the context, or {@code null}
     */
    public static SslContext peerServer(TlsFiles files) {
        return files == null
                ? null
                : build(files, () -> GrpcSslContexts.configure(SslContextBuilder.forServer(
                                new File(files.certificateFile()), new File(files.keyFile())))
                        .trustManager(new File(files.trustFile()))
                        .clientAuth(ClientAuth.REQUIRE)
                        .build());
    }

    /**
     * Creates the context of the client for peers.
     *
     * @param files keys and certificates, or {@code null} for no TLS
     * @return the context, or {@code null}
     */
    public static SslContext peerClient(TlsFiles files) {
        return files == null
                ? null
                : build(files, () -> GrpcSslContexts.configure(SslContextBuilder.forClient())
                        .keyManager(new File(files.certificateFile()), new File(files.keyFile()))
                        .trustManager(new File(files.trustFile()))
                        .build());
    }

    /**
     * Creates the context of the servers for callers and operators.
     *
     * @param files keys and certificates, or {@code null} for no TLS
     * @return the context, or {@code null}
     */
    public static SslContext callerServer(TlsFiles files) {
        return files == null
                ? null
                : build(files, () -> SslContextBuilder.forServer(
                                new File(files.certificateFile()), new File(files.keyFile()))
                        .build());
    }

    /** Builds a context. The error for an unusable file states what to check. */
    private static SslContext build(TlsFiles files, ContextSource source) {
        try {
            return source.build();
        } catch (SSLException | IllegalArgumentException e) {
            throw new ApricotException(
                    ErrorCode.INVALID_SETTINGS,
                    "Cannot use the TLS files " + files.certificateFile() + ", " + files.keyFile() + " and "
                            + files.trustFile()
                            + "; check that they are PEM files and that key and certificate match.",
                    e);
        }
    }

    /** Builds a context. */
    @FunctionalInterface
    private interface ContextSource {

        /**
         * Builds the context.
         *
         * @return the context
         * @throws SSLException if a file cannot be used
         */
        SslContext build() throws SSLException;
    }
}
