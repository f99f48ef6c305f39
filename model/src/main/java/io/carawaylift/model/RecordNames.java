package io.carawaylift.model;

/** Names of the records that carawaylift stores as objects in the platform. */
public final class RecordNames {
    /** Name of the accepted table, {@link AcceptedTable}. */
    public static final String TABLE = "table";

    /** Prefix of the endpoint lists, {@link EndpointList}. */
    public static final String HOSTS_PREFIX = "hosts/";

    /** Prefix of the ownership records, {@link OwnersRecord}. */
    public static final String OWNERS_PREFIX = "owners/";

    /** Prefix of the member reports, {@link DomainRecord}; not replicated to other hosts. */
    public static final String DOMAIN_PREFIX = "domain/";

    /** Prefix of the audit pages, {@link AuditPage}; not replicated to other hosts. */
    public static final String AUDIT_PREFIX = "audit/";

    /** Prefix of the lists that map blocks of client addresses to sites, {@link AddressBlockList}. */
    public static final String BLOCKS_PREFIX = "blocks/";

    private RecordNames() {}

    /** Returns the name of the endpoint list of a failure domain. */
    public static String hosts(String failureDomain) {
        return HOSTS_PREFIX + failureDomain;
    }

    /** Returns the name of the ownership record of a failure domain. */
    public static String owners(String failureDomain) {
        return OWNERS_PREFIX + failureDomain;
    }

    /** Returns the name of the member report of a failure domain. */
    public static String domain(String failureDomain) {
        return DOMAIN_PREFIX + failureDomain;
    }

    /** Returns the name of the audit page that holds the change to {@code tableVersion}. */
    public static String audit(long tableVersion) {
        return AUDIT_PREFIX + (tableVersion / AuditPage.CAPACITY);
    }

    /** Returns whether the record is replicated to every process. */
    public static boolean isReplicated(String name) {
        return name.equals(TABLE)
                || name.startsWith(HOSTS_PREFIX)
                || name.startsWith(OWNERS_PREFIX)
                || name.startsWith(BLOCKS_PREFIX);
    }
}
