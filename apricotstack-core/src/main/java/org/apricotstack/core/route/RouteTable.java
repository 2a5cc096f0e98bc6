package org.apricotstack.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Finds the route of a request by its host name and the longest matching path prefix. */
public final class RouteTable {

    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    /**
     * Creates a table.
     *
     * @param routes the routes
     */
    public RouteTable(Collection<Route> routes) {
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
    }

    /**
     * Finds a route.
     *
     * @param host the request's host name, with or without a port
     * @param path the request's path; a query is ignored
     * @return the route, or {@code null} if none matches
     */
    public Route find(String host, String path) {
        Map<String, Route> byPrefix = byHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (byPrefix == null) {
            return null;
        }
        int query = path.indexOf('?');
        int end = query < 0 ? path.length() : query;
        for (int slash = path.lastIndexOf('/', end - 1); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    /** Removes the port from a host name. */
    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
    }
}
