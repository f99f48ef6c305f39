package io.carawaylift.entry;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Headers;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.Table;
import io.carawaylift.runtime.Settings;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Runs entry processes in the test's process, with fake control programs and one service {@code s} with upstream
 * {@code u}.
 */
final class EntryCluster implements AutoCloseable {
    private static final String TABLE = """
            [[region]]
            name = "r"
            weight = 1
            [[service]]
            name = "s"
            rank = "standard"
            max_deadline_ms = 3000
            [[upstream]]
            name = "u"
            service = "s"
            region = "r"
            failure_domain = "r-a"
            weight = 1
            [lookup]
            lifetime_ms = 100
            """;

    final FakeControl control = new FakeControl();
    private final Map<EntryProcess, EntryService> services = new LinkedHashMap<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Ownership> owners = new ArrayList<>();
    final OkHttpClient client = new OkHttpClient.Builder()
            .proxy(Proxy.NO_PROXY)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .readTimeout(Duration.ofSeconds(20))
            // OkHttp retries by itself on this value, and the test counts only the runs that the entry processes cause.
            .addNetworkInterceptor(chain -> withoutRetryNow(chain.proceed(chain.request())))
            .build();

    private static Response withoutRetryNow(Response response) {
        boolean now = "0".equals(response.header("Retry-After"));
        return now ? response.newBuilder().removeHeader("Retry-After").build() : response;
    }

    /** Starts an entry process. */
    EntryProcess start(String host) {
        String toml = """
                [host]
                id = "%s"
                region = "r"
                failure_domain = "r-a"
                address = "127.0.0.1"
                [control]
                port = 1
                [lookup]
                port = 1
                [entry]
                port = 0
                admin_port = 0
                stop_limit_ms = 10000
                """.formatted(host);
        EntryProcess process = new EntryProcess(host, 1);
        EntryService service =
                new EntryService(EntrySettings.of(Settings.parse("test", toml)), process, identity -> control.link());
        service.start();
        services.put(process, service);
        return process;
    }

    /** Adds an endpoint of upstream {@code u}. */
    EntryCluster endpoint(String id, ScriptedUpstream upstream, int slots, EntryProcess owner) {
        endpoints.add(new Endpoint(id, "u", upstream.url(), slots, 100, false));
        owners.add(new Ownership(id, owner, null, 1, OwnershipMode.FULL, false, null, null));
        return this;
    }

    /** Publishes all records, synchronizes, and sends heartbeats so that the leases are confirmed. */
    void publish() {
        control.publish(
                RecordNames.TABLE,
                new AcceptedTable(1, "c1", "test", "test", "2026-01-01T00:00:00Z", List.of(), Table.parse(TABLE)));
        control.publish(RecordNames.hosts("r-a"), new EndpointList("r-a", "r", endpoints, List.of()));
        publishOwners(owners);
        control.synchronizeAll();
        services.values().forEach(service -> service.heartbeat());
    }

    void publishOwners(List<Ownership> ownerships) {
        List<Member> members = services.entrySet().stream()
                .map(entry -> member(entry.getKey(), entry.getValue()))
                .toList();
        control.publish(RecordNames.owners("r-a"), new OwnersRecord("r-a", "r", members, ownerships));
    }

    private static Member member(EntryProcess process, EntryService service) {
        String url = "http://127.0.0.1:" + service.port();
        return new Member(process, "r", "r-a", "r-a", url, url, url, "127.0.0.1:1", MemberState.ACTIVE);
    }

    EntryService service(EntryProcess process) {
        return services.get(process);
    }

    String url(EntryProcess process) {
        return "http://127.0.0.1:" + services.get(process).port();
    }

    Request.Builder request(EntryProcess process, String path) {
        return new Request.Builder().url(url(process) + path);
    }

    String ticket(EntryProcess process) throws IOException {
        RequestBody none = RequestBody.create(new byte[0]);
        try (Response response =
                client.newCall(request(process, "/tickets").post(none).build()).execute()) {
            String json = response.body().string();
            return json.substring(json.indexOf("[\"") + 2, json.indexOf("\"]"));
        }
    }

    Result get(EntryProcess process, String path) throws IOException {
        return call(request(process, path).build());
    }

    Result post(EntryProcess process, String path, String ticket) throws IOException {
        return call(request(process, path)
                .header(Headers.TICKET, ticket)
                .post(RequestBody.create("body", MediaType.get("text/plain")))
                .build());
    }

    Result call(Request request) throws IOException {
        try (Response response = client.newCall(request).execute()) {
            return new Result(
                    response.code(),
                    Integer.parseInt(response.header(Headers.CODE, "0")),
                    response.body().string(),
                    response.headers());
        }
    }

    /** Response as received by a caller. */
    record Result(int status, int code, String body, okhttp3.Headers headers) {}

    @Override
    public void close() {
        services.values().forEach(EntryService::abort);
        client.connectionPool().evictAll();
        services.values()
                .forEach(service -> assertThat(service.violationCount()).isEqualTo(0));
    }
}
