package review2;

import java.util.ArrayList;
import java.util.List;

/** A configuration as the operator writes it, with the columns that {@code fleetbench wire} shows. */
final class Configuration {
    private final long version;
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private boolean withTenants;

    Configuration(long version) {
        this.version = version;
    }

    Configuration route(String prefix, String kind, int timeoutMs, int targetMs, String service) {
        routes.add("[\"r" + prefix.replace('/', '-') + "\",\"jepu9.example\",\"" + prefix + "\",\"" + kind + "\"," + timeoutMs
                + "," + targetMs + ",1,\"" + service + "\",2,false,[],null]");
        return this;
    }

    Configuration service(String name) {
        services.add("[\"" + name + "\",\"/health\",360,\"h1\",false,3.0,3.9]");
        return this;
    }

    /** Has the configuration contain the table of tenants, whether it has rows or not. */
    Configuration withTenants() {
        withTenants = true;
        return this;
    }

    Configuration tenant(String name, String... keys) {
        withTenants = true;
        tenants.add("[\"" + name + "\",[\"" + String.join("\",\"", keys) + "\"]]");
        return this;
    }

    String json() {
        return "{\"version\":" + version
                + ",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutMs\",\"targetLatencyMs\","
                + "\"priority\",\"service\",\"maxAttempts\",\"sessionAffinity\",\"homeRegions\",\"trafficSplit\"],\"rows\":["
                + String.join(",", routes)
                + "]},\"services\":{\"columns\":[\"name\",\"healthCheckPath\",\"maxConnections\",\"protocol\",\"tls\","
                + "\"coldStartS\",\"coldPerS\"],\"rows\":[" + String.join(",", services) + "]},"
                + (!withTenants
                        ? ""
                        : "\"tenants\":{\"columns\":[\"name\",\"apiKeys\"],\"rows\":[" + String.join(",", tenants) + "]},")
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000}}";
    }
}
