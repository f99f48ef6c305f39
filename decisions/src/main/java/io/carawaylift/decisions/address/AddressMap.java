package io.carawaylift.decisions.address;

/** Placeholder for the map from blocks of client addresses to sites. */
final class AddressMap {
    private AddressMap() {}
}
