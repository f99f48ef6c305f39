package io.carawaylift.testing.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.AddressBlockList;
import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.Table;
import io.carawaylift.testing.http.HttpCalls;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Client of the platform: reads its records and calls its control interface. */
public final class SimulatedPlatformClient {
    private static final long TIMEOUT_MILLIS = 5_000;

    private final HttpCalls http = new HttpCalls(TIMEOUT_MILLIS);
    private final String url;
    private final String controlUrl;

    SimulatedPlatformClient(String url, String controlUrl) {
        this.url = url;
        this.controlUrl = controlUrl;
    }

    /** Returns the base URL of the object API. */
    public String url() {
        return url;
    }

    /** Writes the initial table and the list of client address blocks. */
    void writeInitial(Table table, List<AddressBlockList.Block> blocks) {
        create(
                RecordNames.TABLE,
                new AcceptedTable(1, "first", "launcher", "starting table", "2026-01-01T00:00:00Z", List.of(), table));
        create(RecordNames.BLOCKS_PREFIX + "0", new AddressBlockList(blocks));
    }

    /** Makes the platform list these endpoints and hosts after the configured delay. */
    void list(EndpointList list) {
        HttpCalls.TextResponse response = http.put(
                controlUrl + "/" + RecordNames.hosts(list.failureDomain()),
                RecordCodec.encode(list).toArray(),
                "Content-Type",
                "application/json");
        requireOk(response, "list");
    }

    /** Returns the accepted table. */
    public AcceptedTable table() {
        return read(RecordNames.TABLE, AcceptedTable.class).orElseThrow();
    }

    /** Returns the owners of a failure domain's endpoints. */
    public Optional<OwnersRecord> owners(String failureDomain) {
        return read(RecordNames.owners(failureDomain), OwnersRecord.class);
    }

    /** Returns the latest heartbeats of a failure domain. */
    public Optional<DomainRecord> heartbeats(String failureDomain) {
        return read(RecordNames.domain(failureDomain), DomainRecord.class);
    }

    /** Sets faults of the platform, for example {@code mode=silent}. */
    public void setFaults(String query) {
        requireOk(http.post(controlUrl + "/faults?" + query), query);
    }

    /** Returns the number of calls to the platform by kind. */
    public Map<String, Long> calls() {
        Map<String, Long> counts = new TreeMap<>();
        for (Map.Entry<String, JsonNode> entry :
                http.get(controlUrl + "/calls").json().properties()) {
            counts.put(entry.getKey(), entry.getValue().asLong());
        }
        return counts;
    }

    private void create(String name, Object record) {
        byte[] value = RecordCodec.encode(record).toArray();
        requireOk(http.put(url + "/objects/" + name, value, "If-None-Match", "*"), name);
    }

    private <T> Optional<T> read(String name, Class<T> type) {
        HttpCalls.TextResponse response = http.get(url + "/objects/" + name);
        return response.status() == 200
                ? Optional.of(RecordCodec.decode(RecordBytes.of(response.text()), type))
                : Optional.empty();
    }

    private static void requireOk(HttpCalls.TextResponse response, String operation) {
        if (response.status() != 200) {
            throw new IllegalStateException(
                    operation + ": expected status 200, but was " + response.status() + " " + response.text());
        }
    }
}
