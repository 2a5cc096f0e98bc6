package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Links of limited rate in virtual time, each shared evenly by all transfers over it; unlimited until limited. */
final class VirtualLinks {

    private static final int BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_AND_MEGABIT = 1_000;

    private final List<Transfer> transfers = new ArrayList<>();
    private final Map<Object, Double> bytesPerMilli = new HashMap<>();

    /** A transfer between two ends, each of which has one link in each direction. */
    static final class Transfer {

        private final Object from;
        private final Object to;
        private final Object connection;
        private final Runnable onArrival;
        private double bytesLeft;

        private Transfer(Object from, Object to, Object connection, double bytes, Runnable onArrival) {
            this.from = from;
            this.to = to;
            this.connection = connection;
            this.bytesLeft = bytes;
            this.onArrival = onArrival;
        }
    }

    /** Limits the link of one end. */
    void limit(Object end, double megabitsPerSecond) {
        bytesPerMilli.put(end, megabitsPerSecond * BITS_PER_MILLI_AND_MEGABIT / BITS_PER_BYTE);
    }

    /** Removes the limits and transfers of one end. */
    void remove(Object end) {
        bytesPerMilli.remove(end);
        transfers.removeIf(transfer -> transfer.from == end || transfer.to == end);
    }

    /**
     * Calls the action once the bytes have arrived, after those that were sent over the same connection before; at once
     * if neither link is limited.
     */
    Transfer transfer(Object from, Object to, Object connection, long bytes, Runnable onArrival) {
        Transfer transfer = new Transfer(from, to, connection, bytes, onArrival);
        if (bytesPerMilli.containsKey(from) || bytesPerMilli.containsKey(to)) {
            transfers.add(transfer);
        } else {
            onArrival.run();
        }
        return transfer;
    }

    /** Returns whether bytes are arriving over a connection. */
    boolean isReceiving(Object connection) {
        return transfers.stream().anyMatch(transfer -> transfer.connection == connection);
    }

    /** Ends the transfers over a connection that its receiver has closed. */
    void close(Object connection) {
        transfers.removeIf(transfer -> transfer.connection == connection);
    }

    /** Lets a millisecond pass. */
    void advance() {
        if (transfers.isEmpty()) {
            return;
        }
        Map<Object, Transfer> first = new LinkedHashMap<>();
        transfers.forEach(transfer -> first.putIfAbsent(transfer.connection, transfer));
        Map<Object, Integer> sent = new HashMap<>();
        Map<Object, Integer> received = new HashMap<>();
        for (Transfer transfer : first.values()) {
            sent.merge(transfer.from, 1, Integer::sum);
            received.merge(transfer.to, 1, Integer::sum);
        }
        List<Transfer> arrived = new ArrayList<>();
        for (Transfer transfer : first.values()) {
            transfer.bytesLeft -= Math.min(
                    share(transfer.from, sent.get(transfer.from)), share(transfer.to, received.get(transfer.to)));
            if (transfer.bytesLeft <= 0) {
                arrived.add(transfer);
            }
        }
        transfers.removeAll(arrived);
        arrived.forEach(transfer -> transfer.onArrival.run());
    }

    private double share(Object end, int users) {
        return bytesPerMilli.getOrDefault(end, Double.MAX_VALUE) / users;
    }
}
