package org.apricotstack.adapters.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.json.JsonFields;
import org.apricotstack.core.configuration.Problem;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.Names;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentSet;
import org.apricotstack.core.replication.DocumentValidator;
import org.apricotstack.core.replication.Validated;

/** Parses and validates the roster: documents {@code routers/NAME} and {@code upstreams/NAME}. */
public final class JsonRosterValidator implements DocumentValidator<Roster> {

    private static final String ADDRESS = "an address IP:PORT";

    @Override
    public Validated<Roster> validate(DocumentSet documents) {
        List<Problem> problems = new ArrayList<>();
        SortedMap<HostId, RosterHost> routers = new TreeMap<>();
        Set<UpstreamId> leaving = new HashSet<>();
        for (Document document : documents.documents().values()) {
            read(document, routers, leaving, problems);
        }
        return problems.isEmpty()
                ? new Validated<>(new Roster(documents.version(), routers, Set.copyOf(leaving)), List.of())
                : new Validated<>(null, problems);
    }

    /** Parses one document. */
    private static void read(
            Document document, SortedMap<HostId, RosterHost> routers, Set<UpstreamId> leaving, List<Problem> problems) {
        String key = document.key();
        String name = key.substring(key.indexOf('/') + 1);
        boolean isRouter = key.startsWith("routers/");
        if (!Names.isValid(name) || !isRouter && !key.startsWith("upstreams/")) {
            problems.add(new Problem(key, "", "a key of another form", "routers/NAME or upstreams/NAME"));
            return;
        }
        try {
            JsonFields fields = new JsonFields(key, "", Json.COMMENTED.readTree(document.body()), problems::add);
            boolean isLeaving = fields.flag("leaving", false);
            if (isRouter) {
                RosterHost host = new RosterHost(
                        new HostId(name),
                        fields.value("dataCentre", null, "a name", DataCentreId::new),
                        fields.value("callerAddress", null, ADDRESS, Address::parse),
                        fields.value("peerAddress", null, ADDRESS, Address::parse),
                        isLeaving);
                routers.put(host.id(), host);
            } else if (isLeaving) {
                leaving.add(new UpstreamId(name));
            }
            fields.finish();
        } catch (IOException e) {
            problems.add(new Problem(key, "", Json.describe(e), "one JSON object"));
        }
    }
}
