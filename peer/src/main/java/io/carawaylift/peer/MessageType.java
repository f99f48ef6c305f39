package io.carawaylift.peer;

/** Message types and their numbers on the wire. The number of a removed type is never reused. */
enum MessageType {
    HELLO(1, Message.Hello.class),
    PING(2, Message.Ping.class),
    HEARTBEAT(3, Message.Heartbeat.class),
    HEARTBEAT_CONFIRMED(4, Message.HeartbeatConfirmed.class),
    HEARTBEAT_ACKNOWLEDGED(5, Message.HeartbeatAcknowledged.class),
    PROCESS_ENDED(6, Message.ProcessEnded.class),
    RECORD_VALUE(7, Message.RecordValue.class),
    RECORD_DELTA(8, Message.RecordDelta.class),
    RECORDS_COMPLETE(9, Message.RecordsComplete.class),
    STORE_DIGEST(10, Message.StoreDigest.class),
    STORE_VERSIONS(11, Message.StoreVersions.class),
    RECORD_REQUEST(12, Message.RecordRequest.class),
    HOST_REPORT(13, Message.HostReport.class),
    OBJECT_CHANGES(14, Message.ObjectChanges.class),
    OBJECT_POSITIONS(15, Message.ObjectPositions.class),
    OBJECTS_REQUEST(16, Message.ObjectsRequest.class),
    REGION_REPORTS(17, Message.RegionReports.class),
    FRESHNESS_REQUEST(20, Message.FreshnessRequest.class),
    FRESHNESS_REPLY(21, Message.FreshnessReply.class),
    QUOTA_REPORT(22, Message.QuotaReport.class),
    QUOTA_SUMS(23, Message.QuotaSums.class),
    ENDPOINT_LEAVING(24, Message.EndpointLeaving.class);

    private final int number;
    private final Class<? extends Message> messageClass;

    MessageType(int number, Class<? extends Message> messageClass) {
        this.number = number;
        this.messageClass = messageClass;
    }

    int number() {
        return number;
    }

    Class<? extends Message> messageClass() {
        return messageClass;
    }

    static MessageType of(Message message) {
        for (MessageType type : values()) {
            if (type.messageClass.isInstance(message)) {
                return type;
            }
        }
        throw new IllegalArgumentException("message type without a number: " + message.getClass());
    }

    /** Returns the type with a number, or null if it is unknown because a newer program sent it. */
    static MessageType ofNumber(int number) {
        for (MessageType type : values()) {
            if (type.number == number) {
                return type;
            }
        }
        return null;
    }
}
