package dev.wigeonward.common.settings;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Parser and formatter for numeric IP addresses with ports. Host names are never resolved. */
final class NumericAddress {
    private static final int MAX_PORT = 65_535;
    private static final int IPV4_BYTES = 4;
    private static final int MAX_BYTE = 255;

    private NumericAddress() {}

    /** Returns the parsed address, or empty if the text is not a numeric address with a port. */
    static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        String host = text.substring(0, colon);
        int port = parseNumber(text.substring(colon + 1), MAX_PORT);
        if (port < 0) {
            return Optional.empty();
        }
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        Optional<InetAddress> address = bracketed ? parseIpv6(host.substring(1, host.length() - 1)) : parseIpv4(host);
        return address.map(numeric -> new InetSocketAddress(numeric, port));
    }

    private static Optional<InetAddress> parseIpv4(String host) {
        String[] parts = host.split("\\.", -1);
        if (parts.length != IPV4_BYTES) {
            return Optional.empty();
        }
        byte[] bytes = new byte[IPV4_BYTES];
        for (int index = 0; index < IPV4_BYTES; index++) {
            int part = parseNumber(parts[index], MAX_BYTE);
            if (part < 0) {
                return Optional.empty();
            }
            bytes[index] = (byte) part;
        }
        try {
            return Optional.of(InetAddress.getByAddress(bytes));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are not an IPv4 address", e);
        }
    }

    private static Optional<InetAddress> parseIpv6(String host) {
        // Java treats a text with a colon as a literal and never resolves it as a host name.
        if (host.indexOf(':') < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(InetAddress.getByName(host));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /** Returns the number in a text of at most five digits, or -1 if the text is malformed or exceeds the largest. */
    private static int parseNumber(String text, int largest) {
        if (text.isEmpty() || text.length() > 5 || !text.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            return -1;
        }
        int number = Integer.parseInt(text);
        return number <= largest ? number : -1;
    }

    /** Returns the text of an address, with brackets around an IPv6 address. */
    static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (address.getAddress() instanceof Inet6Address ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
