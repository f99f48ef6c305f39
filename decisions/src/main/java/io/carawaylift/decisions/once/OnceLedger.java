package io.carawaylift.decisions.once;

/** Placeholder for the ledger of once-only requests. */
final class OnceLedger {
    private OnceLedger() {}
}
