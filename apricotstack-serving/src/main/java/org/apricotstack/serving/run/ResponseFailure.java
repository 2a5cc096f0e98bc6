package org.apricotstack.serving.run;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.apricotstack.core.notice.AdvertisedBackOff;
import org.apricotstack.core.notice.AdvertisedDrain;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.http.ResponseHead;

/** Classifies complete responses of upstreams. */
final class ResponseFailure {

    private ResponseFailure() {}

    /** Returns the kind of failure that a complete response is; {@code null} if it is none. */
    static FailureKind of(ResponseHead answer) {
        if (answer.wrongInstance()) {
            return FailureKind.OTHER_INSTANCE;
        }
        if (answer.notRun()) {
            return rejectionKind(answer);
        }
        if (answer.success()) {
            return answer.sealed() && !answer.contentEncoded() ? null : FailureKind.SPOILED;
        }
        boolean serverError = answer.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        return serverError ? FailureKind.ERROR : null;
    }

    /** Returns why an upstream rejected a request without running it. */
    private static FailureKind rejectionKind(ResponseHead answer) {
        if (answer.faultyHelperAddress() != null) {
            return FailureKind.HELPER_GONE;
        }
        if (answer.notice().drain() == AdvertisedDrain.DRAINING) {
            return FailureKind.DRAINING;
        }
        boolean requestsBackOff = answer.notice().backOff().kind() == AdvertisedBackOff.Kind.STATED;
        return requestsBackOff ? FailureKind.BACK_OFF : FailureKind.FULL;
    }
}
