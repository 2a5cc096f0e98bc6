package org.apricotstack.adapters.peer;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.Header;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;
import org.apricotstack.core.time.PeerClock;
import org.apricotstack.wire.DispatchRequest;
import org.apricotstack.wire.Process;

/** Converts commands to and from the protocol buffers that routers exchange. */
final class PeerMessages {

    private PeerMessages() {}

    /** Encodes a process. */
    static Process process(ProcessId process) {
        return Process.newBuilder()
                .setHost(process.host().value())
                .setIncarnation(process.incarnation())
                .build();
    }

    /** Decodes a process. */
    static ProcessId process(Process message) {
        return new ProcessId(new HostId(message.getHost()), message.getIncarnation());
    }

    /**
     * Encodes a dispatch.
     *
     * @param command the attempt, with a deadline in the local clock
     * @param self this process
     * @param receiverClock the estimate of the receiver's clock
     * @param clock the local clock
     */
    static DispatchRequest dispatch(
            DispatchCommand command, ProcessId self, PeerClock receiverClock, MonotonicClock clock) {
        DispatchRequest.Builder message = DispatchRequest.newBuilder()
                .setAttempt(command.attempt().toString())
                .setGroup(command.group().value())
                .setWork(work(command.work()))
                .setRemainingMillis(command.deadline().remainingMillis(clock))
                .setResumeOffset(command.resumeOffset())
                .setSender(process(self));
        command.excluded().forEach(upstream -> message.addExcludedUpstreams(upstream.value()));
        ProcessId receiver = receiverClock.process();
        Deadline theirs = receiver == null ? null : receiverClock.translate(receiver, command.deadline());
        if (theirs != null) {
            message.setDeadlineProcess(process(receiver)).setDeadlineNanos(theirs.atNanos());
        }
        return message.build();
    }

    /** Decodes a dispatch, with its deadline in the local clock. */
    static DispatchCommand dispatch(DispatchRequest message, ProcessId self, MonotonicClock clock) {
        Set<UpstreamId> excluded = new LinkedHashSet<>();
        message.getExcludedUpstreamsList().forEach(name -> excluded.add(new UpstreamId(name)));
        Process deadlineProcess = message.hasDeadlineProcess() ? message.getDeadlineProcess() : null;
        return new DispatchCommand(
                AttemptId.parse(message.getAttempt()),
                new GroupId(message.getGroup()),
                work(message.getWork()),
                deadline(message.getRemainingMillis(), deadlineProcess, message.getDeadlineNanos(), self, clock),
                message.getResumeOffset(),
                excluded);
    }

    /**
     * Decodes a deadline: the remaining time or, if the sender could state it, an earlier instant of this process's
     * clock.
     *
     * <p>A process that was suspended reads the message late; only the instant then shows that the deadline has passed.
     */
    static Deadline deadline(
            long remainingMillis, Process deadlineProcess, long nanos, ProcessId self, MonotonicClock clock) {
        Deadline byRemaining = Deadline.in(clock, remainingMillis);
        boolean forThisProcess = deadlineProcess != null && self.equals(process(deadlineProcess));
        return forThisProcess ? byRemaining.earlier(new Deadline(nanos)) : byRemaining;
    }

    /** Encodes the work of an attempt. The body is wrapped, not copied. */
    static org.apricotstack.wire.Work work(Work work) {
        org.apricotstack.wire.Work.Builder message = org.apricotstack.wire.Work.newBuilder()
                .setClientAccount(work.account().value())
                .setService(work.service().value())
                .setPromptTokens(work.promptTokens())
                .setOutputTokens(work.outputTokens())
                .addAllPrefixFingerprints(work.prefixFingerprints())
                .setBody(UnsafeByteOperations.unsafeWrap(work.body()))
                .setRepeatable(work.repeatable())
                .setConfigurationVersion(work.configurationVersion());
        if (work.call() != null) {
            message.setMethod(work.call().method()).setPath(work.call().path());
            work.call().headers().forEach(header -> message.addHeaders(header(header)));
        }
        return message.build();
    }

    /** Decodes the work of an attempt. */
    static Work work(org.apricotstack.wire.Work message) {
        Work.PlainCall call = message.getMethod().isEmpty()
                ? null
                : new Work.PlainCall(message.getMethod(), message.getPath(), headers(message.getHeadersList()));
        return new Work(
                new ClientAccountId(message.getClientAccount()),
                new ServiceId(message.getService()),
                message.getPromptTokens(),
                message.getOutputTokens(),
                message.getPrefixFingerprintsList(),
                bytes(message.getBody()),
                call,
                message.getRepeatable(),
                message.getConfigurationVersion());
    }

    /** Returns the bytes of a field. */
    static byte[] bytes(ByteString field) {
        return field.toByteArray();
    }

    /** Encodes a header. */
    static org.apricotstack.wire.Header header(Header header) {
        return org.apricotstack.wire.Header.newBuilder()
                .setName(header.name())
                .setValue(header.value())
                .build();
    }

    /** Decodes headers. */
    static List<Header> headers(List<org.apricotstack.wire.Header> messages) {
        return messages.stream()
                .map(message -> new Header(message.getName(), message.getValue()))
                .toList();
    }
}
