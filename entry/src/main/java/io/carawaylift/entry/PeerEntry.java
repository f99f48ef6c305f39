package io.carawaylift.entry;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;

/** Address of another entry process. */
record PeerEntry(EntryProcess process, String url, String region) {
    static PeerEntry of(Member member) {
        return new PeerEntry(member.process(), member.entryUrl(), member.region());
    }
}
