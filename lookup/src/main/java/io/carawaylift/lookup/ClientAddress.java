package io.carawaylift.lookup;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses IPv4 addresses without a DNS lookup. */
final class ClientAddress {
    private static final Pattern IPV4 = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})");
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;

    private ClientAddress() {}

    /**
     * Returns the address as a 32-bit number, the first octet in the highest byte.
     *
     * @throws CarawayliftException with {@link ResultCode#BAD_REQUEST} if the text is not an IPv4 address
     */
    static int parse(String text) {
        Matcher matcher = IPV4.matcher(text);
        if (!matcher.matches()) {
            throw malformed(text);
        }
        int address = 0;
        for (int octet = 1; octet <= OCTETS; octet++) {
            int value = Integer.parseInt(matcher.group(octet));
            if (value > MAX_OCTET) {
                throw malformed(text);
            }
            address = (address << Byte.SIZE) | value;
        }
        return address;
    }

    private static CarawayliftException malformed(String text) {
        return new CarawayliftException(ResultCode.BAD_REQUEST, "client '" + text + "' is not an IPv4 address");
    }
}
