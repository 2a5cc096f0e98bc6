package org.apricotstack.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;

/**
 * The states of the other routers as believed by this process, spread by gossip.
 *
 * <p>A member without a record counts as alive, so only exceptions are stored and sent: the table of a healthy fleet of
 * any size is nearly empty, and gossip traffic does not grow with the fleet.
 *
 * <p>A process that learns that it is suspected or declared dead refutes this with a higher refutation number. A
 * process that learns of a later incarnation on its own host knows that it was replaced while it was paused; it must
 * accept no more work.
 */
public final class MembershipTable {

    /** Number of messages that carry a new record before it counts as spread. */
    static final int TRANSMISSIONS = 8;

    private final ProcessId self;
    private final long suspicionMillis;
    private final Map<HostId, Entry> entries = new HashMap<>();
    private MemberRecord own;
    private boolean replaced;
    private long revision;
    private long sendCount;

    /**
     * Creates a table.
     *
     * @param self this process
     * @param suspicionMillis time-out from suspicion to dead, in milliseconds
     */
    public MembershipTable(ProcessId self, long suspicionMillis) {
        this.self = self;
        this.suspicionMillis = suspicionMillis;
        own = new MemberRecord(self.host(), self.incarnation(), 0, MemberState.ALIVE);
        entries.put(self.host(), new Entry(own, 0, 0));
    }

    /**
     * Merges a record received from a peer.
     *
     * @param record the record
     * @param nowMillis the local clock
     */
    public synchronized void merge(MemberRecord record, long nowMillis) {
        if (record.host().equals(self.host())) {
            mergeAboutSelf(record, nowMillis);
            return;
        }
        Entry known = entries.get(record.host());
        if (known == null && record.state() == MemberState.ALIVE) {
            // All members count as alive by default. If such records were forwarded, the first record of each host
            // would fill every message for minutes after a start, and longer in a larger fleet.
            entries.put(record.host(), new Entry(record, nowMillis, 0));
            revision++;
        } else if (known == null || record.supersedes(known.record)) {
            put(record, nowMillis);
        }
    }

    /** Refutes a wrong record about this process, or records that a later process has replaced it. */
    private void mergeAboutSelf(MemberRecord record, long nowMillis) {
        if (record.incarnation() > self.incarnation()) {
            replaced = true;
            revision++;
            return;
        }
        if (record.incarnation() < self.incarnation() || !record.supersedes(own)) {
            return;
        }
        setOwn(new MemberRecord(self.host(), self.incarnation(), record.refutation() + 1, own.state()), nowMillis);
    }

    /**
     * Records that a process answered this one directly.
     *
     * @param process the process
     * @param nowMillis the local clock
     */
    public synchronized void recordAlive(ProcessId process, long nowMillis) {
        merge(new MemberRecord(process.host(), process.incarnation(), 0, MemberState.ALIVE), nowMillis);
    }

    /**
     * Records that a host answered neither direct nor indirect probes.
     *
     * @param host the host
     * @param nowMillis the local clock
     */
    public synchronized void suspect(HostId host, long nowMillis) {
        Entry known = entries.get(host);
        MemberRecord last = known == null ? new MemberRecord(host, 0, 0, MemberState.ALIVE) : known.record;
        MemberRecord suspicion = new MemberRecord(host, last.incarnation(), last.refutation(), MemberState.SUSPECT);
        if (suspicion.supersedes(last)) {
            put(suspicion, nowMillis);
        }
    }

    /**
     * Declares members dead that have been suspected for too long.
     *
     * @param nowMillis the local clock
     * @return the hosts that are newly declared dead
     */
    public synchronized List<HostId> expireSuspicions(long nowMillis) {
        List<HostId> dead = new ArrayList<>();
        for (Entry entry : List.copyOf(entries.values())) {
            MemberRecord record = entry.record;
            if (record.state() == MemberState.SUSPECT && nowMillis - entry.sinceMillis >= suspicionMillis) {
                put(
                        new MemberRecord(record.host(), record.incarnation(), record.refutation(), MemberState.DEAD),
                        nowMillis);
                dead.add(record.host());
            }
        }
        return dead;
    }

    /**
     * Announces that this process stops.
     *
     * @param state {@link MemberState#LEAVING}, or {@link MemberState#DEAD} at the very end
     * @param nowMillis the local clock
     */
    public synchronized void announce(MemberState state, long nowMillis) {
        setOwn(new MemberRecord(self.host(), self.incarnation(), own.refutation(), state), nowMillis);
    }

    /**
     * Removes hosts that left the roster, so that the table stays bounded.
     *
     * @param roster hosts that exist
     */
    public synchronized void retain(Collection<HostId> roster) {
        boolean changed = entries.keySet().removeIf(host -> !host.equals(self.host()) && !roster.contains(host));
        if (changed) {
            revision++;
        }
    }

    /**
     * Selects the records to piggyback on a message: new ones first, then exceptions in turn.
     *
     * @param max maximum number of records
     * @return the records, each once
     */
    public synchronized List<MemberRecord> gossip(int max) {
        List<MemberRecord> picked = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (picked.size() < max && entry.transmissionsLeft > 0) {
                entry.transmissionsLeft--;
                picked.add(entry.record);
            }
        }
        addExceptions(picked, max);
        return picked;
    }

    /** Adds the exceptions that were sent least recently. */
    private void addExceptions(List<MemberRecord> picked, int max) {
        List<Entry> exceptions = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.record.state() != MemberState.ALIVE && !picked.contains(entry.record)) {
                exceptions.add(entry);
            }
        }
        exceptions.sort((a, b) -> Long.compare(a.lastSendCount, b.lastSendCount));
        Iterator<Entry> next = exceptions.iterator();
        while (picked.size() < max && next.hasNext()) {
            Entry entry = next.next();
            entry.lastSendCount = ++sendCount;
            picked.add(entry.record);
        }
    }

    /**
     * Returns the state of a host.
     *
     * @param host the host
     * @return the believed state; alive without a record
     */
    public synchronized MemberState state(HostId host) {
        Entry entry = entries.get(host);
        return entry == null ? MemberState.ALIVE : entry.record.state();
    }

    /**
     * Returns the latest known incarnation of a host.
     *
     * @param host the host
     * @return its incarnation, 0 if none is known
     */
    public synchronized long incarnation(HostId host) {
        Entry entry = entries.get(host);
        return entry == null ? 0 : entry.record.incarnation();
    }

    /**
     * Tells whether a later process has replaced this one.
     *
     * @return whether this process must accept no more work
     */
    public synchronized boolean isReplaced() {
        return replaced;
    }

    /**
     * Returns a number that grows with each change.
     *
     * @return the number
     */
    public synchronized long revision() {
        return revision;
    }

    /** Stores a record and increments the revision. */
    private void put(MemberRecord record, long nowMillis) {
        entries.put(record.host(), new Entry(record, nowMillis, TRANSMISSIONS));
        revision++;
    }

    /** Stores the record of this process about itself. */
    private void setOwn(MemberRecord record, long nowMillis) {
        own = record;
        put(record, nowMillis);
    }

    /** A record with the state of its dissemination. */
    private static final class Entry {
        private final MemberRecord record;
        private final long sinceMillis;
        private int transmissionsLeft;
        private long lastSendCount;

        /** Creates an entry. */
        private Entry(MemberRecord record, long sinceMillis, int transmissions) {
            this.transmissionsLeft = transmissions;
            this.record = record;
            this.sinceMillis = sinceMillis;
        }
    }
}
