package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests of customers through a running host. */
final class CustomerRequestsTest {
    private static final String ROUTES = """
            {"version":%d,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","priority","service",
            "maxAttempts","homeRegions","public"],"rows":[
            ["keyed","a.example","/keyed/","safe",2000,1,"service",2,null,null],
            ["home","a.example","/home/","safe",2000,1,"service",2,["region-a"],false],
            ["open","a.example","/open/","safe",2000,1,"service",2,null,true]]},
            "services":{"columns":["name","maxConnections","coldStartS","coldPerS"],"rows":[["service",100,3,4]]}%s}""";

    private static final String CUSTOMERS = """
            ,"tenants":{"columns":["name","apiKeys","homeRegions"],"rows":[
            ["north",["secret-north","secret-both"],null],
            ["süd",["secret-south","secret-both"],null],
            ["abroad",["secret-abroad"],["region-b"]],
            ["broken",["secret-broken",7],null]]}""";

    private HostFixture fixture;
    private ScriptedEndpoint endpoint;

    @BeforeEach
    void start() throws IOException {
        fixture = new HostFixture();
        endpoint = fixture.addEndpoint("e-1");
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void configure(long version, String customers) {
        fixture.store().put("config", "main", ROUTES.formatted(version, customers));
        fixture.awaitLine("configuration.in_force", "\"version\":" + version + ",");
        HostFixture.await(() -> {
            try {
                return fixture.readiness() == 200;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    private RawCaller.Response call(String target, String... headers) throws IOException {
        try (RawCaller caller = fixture.caller()) {
            return caller.call("GET", target, "id-1", headers);
        }
    }

    private ScriptedEndpoint.Request lastRequest() {
        return endpoint.requests().get(endpoint.requests().size() - 1);
    }

    /** Guards against a request that runs without a valid key, and against a refusal that callers would repeat. */
    @Test
    void aRequestWithoutAKnownKeyIsNotRun() throws IOException {
        configure(1, CUSTOMERS);

        for (String key : new String[] {"unknown", "secret-both", "secret-broken", "secret-north, secret-north"}) {
            RawCaller.Response response = call("/keyed/1", "X-Credential: " + key);
            assertThat(response.status()).isEqualTo(401);
            assertThat(response.header("Retry-After")).isNull();
        }
        assertThat(call("/keyed/1").status()).isEqualTo(401);
        assertThat(call("/keyed/1", "X-Credential: secret-north", "X-Credential: secret-north")
                        .status())
                .isEqualTo(401);
        assertThat(endpoint.requests()).isEmpty();
        assertThat(call("/other/1").status()).isEqualTo(404);
    }

    /** Guards against a customer that a caller claims, and against a key that reaches an endpoint. */
    @Test
    void theEndpointGetsTheCustomerAndNotTheKey() throws IOException {
        configure(1, CUSTOMERS);

        RawCaller.Response response = call(
                "/keyed/1", "x-credential: secret-north", "x-tenant: other", "X-Tenant: more", "Connection: X-Tenant");
        assertThat(response.status()).isEqualTo(200);
        assertThat(lastRequest().header("X-Tenant")).isEqualTo("north");
        assertThat(lastRequest().header("X-Credential")).isNull();

        assertThat(call("/keyed/1", "X-Credential: secret-south").status()).isEqualTo(200);
        byte[] name = lastRequest().header("X-Tenant").getBytes(StandardCharsets.ISO_8859_1);
        assertThat(new String(name, StandardCharsets.UTF_8)).isEqualTo("süd");
    }

    /** Guards against a claimed customer or a key that reaches an endpoint where no key is needed. */
    @Test
    void publicRoutesAndConfigurationsWithoutCustomersDropBothHeaders() throws IOException {
        configure(1, "");
        assertThat(call("/keyed/1", "X-Tenant: other", "X-Credential: any").status())
                .isEqualTo(200);
        assertThat(lastRequest().header("X-Tenant")).isNull();
        assertThat(lastRequest().header("X-Credential")).isNull();

        configure(2, CUSTOMERS);
        assertThat(call("/open/1", "X-Tenant: other", "X-Credential: secret-north")
                        .status())
                .isEqualTo(200);
        assertThat(lastRequest().header("X-Tenant")).isNull();
        assertThat(lastRequest().header("X-Credential")).isNull();
        assertThat(call("/open/1").status()).isEqualTo(200);
    }

    /** Guards against a host that keeps serving without keys because its first configuration had no customers. */
    @Test
    void keysAreDemandedOnceAConfigurationHasCustomers() throws IOException {
        configure(1, "");
        assertThat(call("/keyed/1", "X-Credential: unknown").status()).isEqualTo(200);

        configure(2, CUSTOMERS);
        assertThat(call("/keyed/1", "X-Credential: unknown").status()).isEqualTo(401);
        assertThat(call("/keyed/1").status()).isEqualTo(401);
        assertThat(call("/keyed/1", "X-Credential: secret-north").status()).isEqualTo(200);
        assertThat(fixture.hasLine("configuration.in_force", "\"keys\":\"required\"", "\"customers\":3"))
                .isTrue();
    }

    /** Guards against routes that open to withdrawn and unknown keys with the removal of the last customer. */
    @Test
    void noKeyRunsAfterTheLastCustomerOrTheWholeTableWasRemoved() throws IOException {
        configure(1, CUSTOMERS);
        configure(2, ",\"tenants\":{\"columns\":[\"name\",\"apiKeys\"],\"rows\":[]}");
        assertThat(call("/keyed/1", "X-Credential: secret-north").status()).isEqualTo(401);
        assertThat(call("/keyed/1", "X-Credential: unknown").status()).isEqualTo(401);
        assertThat(call("/keyed/1").status()).isEqualTo(401);

        configure(3, "");
        assertThat(call("/keyed/1", "X-Credential: secret-north").status()).isEqualTo(401);
        assertThat(call("/keyed/1", "X-Credential: unknown").status()).isEqualTo(401);
        assertThat(endpoint.requests()).isEmpty();
        assertThat(call("/keyed/1").status()).isEqualTo(200);
        assertThat(call("/open/1", "X-Credential: unknown").status()).isEqualTo(200);
    }

    /** Guards against a request that runs outside the home regions of its customer. */
    @Test
    void aRequestRunsOnlyInTheHomeRegionsOfRouteAndCustomer() throws IOException {
        configure(1, CUSTOMERS);

        assertThat(call("/keyed/1", "X-Credential: secret-abroad").status()).isEqualTo(503);
        assertThat(call("/home/1", "X-Credential: secret-abroad").status()).isEqualTo(503);
        assertThat(endpoint.requests()).isEmpty();
        assertThat(call("/home/1", "X-Credential: secret-north").status()).isEqualTo(200);
    }

    /** Guards against a refusal for good by a host that has just started. */
    @Test
    void beforeTheConfigurationIsKnownARequestIsRefusedForNow() throws IOException {
        RawCaller.Response response = call("/keyed/1", "X-Credential: secret-north");

        assertThat(response.status()).isEqualTo(503);
        assertThat(response.header("Retry-After")).isNotNull();
    }

    /** Guards against keys in the log or the metrics. */
    @Test
    void noKeyIsLoggedOrCounted() throws IOException {
        configure(1, CUSTOMERS);
        call("/keyed/1", "X-Credential: secret-north");
        call("/keyed/1", "X-Credential: secret-unknown");
        call("/keyed/1", "X-Credential: secret-both");
        call("/keyed/1", "X-Credential: secret-broken\u0001");
        call("/keyed/1", "X-Credential : secret-north");
        call("/keyed/1", "X-Credential: secret-north" + "x".repeat(50_000));
        fixture.store().put("config", "main", "\"secret-whole\"");
        fixture.awaitLine("configuration.refused");
        fixture.awaitLine("customer.ignored", "\"customer\":\"broken\"");
        fixture.awaitLine("customer.key_shared", "\"customer\":\"north\"");
        fixture.awaitLine("\"event\":\"request\"", "\"customer\":\"north\"");

        assertThat(fixture.log()).doesNotContain("secret-");
        assertThat(fixture.host().scrapeMetrics()).doesNotContain("secret-");
    }
}
