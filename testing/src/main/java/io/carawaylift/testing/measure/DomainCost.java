package io.carawaylift.testing.measure;

import io.carawaylift.decisions.membership.RegionMembers;
import io.carawaylift.decisions.ownership.Acknowledgement;
import io.carawaylift.decisions.ownership.LeaseDurations;
import io.carawaylift.decisions.ownership.OwnershipPlanner;
import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.Table;
import java.util.List;
import java.util.Map;

/**
 * Measures the duties whose cost depends on the number of members of a failure domain; each is performed once per
 * second.
 */
final class DomainCost {
    private static final String DOMAIN = "domain-01";
    private static final String REPORTER = "domain-01-host-000";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /** Two agents and up to two successors receive each heartbeat. */
    private static final int HEARTBEAT_RECEIVERS = 4;

    private final int members;
    private final OwnersRecord owners;
    private final EndpointList endpointList;
    private final Table table = FleetData.table(1, 0).table();

    DomainCost(int members) {
        this.members = members;
        this.owners = FleetData.owners(DOMAIN, members);
        this.endpointList = FleetData.endpoints(DOMAIN, members);
    }

    List<ControlCostMeasure.Sample> samples() {
        return List.of(measureMember(), measureAgent(), measureReporter(), measurePlanner());
    }

    private ControlCostMeasure.Sample measureMember() {
        byte[] heartbeat = Encodings.messagePack(FleetData.report(DOMAIN, 1, 1));
        Acknowledgement ack =
                new Acknowledgement(REPORTER, FleetData.member(DOMAIN, 1).process(), 1, Map.of("owners/domain-01", 1L));
        double cpu = CpuTimer.microsPerCall(number -> Encodings.messagePack(FleetData.report(DOMAIN, 1, number)));
        int bytes = HEARTBEAT_RECEIVERS * (heartbeat.length + Encodings.messagePack(ack).length);
        return sample("member: heartbeat", cpu, bytes, 0);
    }

    private ControlCostMeasure.Sample measureAgent() {
        RegionMembers view = createMembersView();
        byte[] heartbeat = Encodings.messagePack(FleetData.report(DOMAIN, 1, 1));
        double cpu = CpuTimer.microsPerCall(number -> {
            for (int i = 0; i < members; i++) {
                MemberReport report = Encodings.decode(heartbeat, MemberReport.class);
                view.heartbeatReceived(
                        new MemberReport(FleetData.member(DOMAIN, i), number + 1L, 1, List.of(), report.measures()),
                        number * NANOS_PER_SECOND);
            }
        });
        return sample(
                "agent: heartbeats",
                cpu,
                members * heartbeat.length,
                CpuTimer.retainedHeapKib(this::createMembersView));
    }

    private ControlCostMeasure.Sample measureReporter() {
        RegionMembers view = createMembersView();
        RecordBytes written = RecordCodec.encode(view.toWrite(DOMAIN, REPORTER, 0));
        double cpu = CpuTimer.microsPerCall(number -> {
            view.domainRead(RecordCodec.decode(written, DomainRecord.class), 0);
            RecordCodec.encode(view.toWrite(DOMAIN, REPORTER, 0));
        });
        return sample("reporter: member report", cpu, 2 * written.length(), 0);
    }

    private ControlCostMeasure.Sample measurePlanner() {
        RegionMembers view = createMembersView();
        OwnershipPlanner planner = new OwnershipPlanner(DOMAIN, FleetData.REGION, LeaseDurations.DEFAULT);
        RecordBytes ownersJson = RecordCodec.encode(owners);
        RecordBytes endpointListJson = RecordCodec.encode(endpointList);
        double cpu = CpuTimer.microsPerCall(number -> planner.plan(
                1,
                RecordCodec.decode(ownersJson, OwnersRecord.class),
                List.of(RecordCodec.decode(endpointListJson, EndpointList.class)),
                view,
                table,
                0));
        return sample("reporter: plan", cpu, ownersJson.length() + endpointListJson.length(), 0);
    }

    private RegionMembers createMembersView() {
        RegionMembers view = new RegionMembers(DOMAIN, FleetData.REGION, LeaseDurations.DEFAULT);
        view.ownersRead(owners, 0);
        for (int i = 0; i < members; i++) {
            view.heartbeatReceived(FleetData.report(DOMAIN, i, 1), 0);
        }
        return view;
    }

    private ControlCostMeasure.Sample sample(String duty, double cpu, double bytes, double memoryKib) {
        return new ControlCostMeasure.Sample(duty, "members", members, cpu, bytes, memoryKib);
    }
}
