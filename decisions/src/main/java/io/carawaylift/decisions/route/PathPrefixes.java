package io.carawaylift.decisions.route;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the routes of one host by the path. Immutable. */
final class PathPrefixes {
    private final Map<String, Route> byPrefix;

    /** Lengths of the prefixes. Limits the look-ups for a long path of many slashes. */
    private final BitSet lengths = new BitSet();

    /** Creates the prefixes of the routes of one host; the first of several routes with the same prefix applies. */
    PathPrefixes(List<Route> routes) {
        Map<String, Route> map = new HashMap<>();
        for (Route route : routes) {
            map.putIfAbsent(route.pathPrefix(), route);
            lengths.set(route.pathPrefix().length());
        }
        byPrefix = Map.copyOf(map);
    }

    /** Returns the route with the longest prefix of the path, empty if none matches. */
    Optional<Route> longestOf(String path) {
        int maxLength = Math.min(path.length(), lengths.length() - 1);
        for (int end = path.lastIndexOf('/', maxLength - 1); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = lengths.get(end + 1) ? byPrefix.get(path.substring(0, end + 1)) : null;
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
