package dev.wigeonward.common.settings;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Text form of numeric IP addresses with ports. Names are not looked up. */
final class NumericAddress {
    private static final int MAX_PORT = 65_535;
    private static final int IPV4_BYTES = 4;
    private static final int MAX_BYTE = 255;

    private NumericAddress() {}

    /** Returns the address, or empty if the text is none. */
    static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        String host = text.substring(0, colon);
        int port = number(text.substring(colon + 1), MAX_PORT);
        if (port < 0) {
            return Optional.empty();
        }
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        Optional<InetAddress> address = bracketed ? ipv6(host.substring(1, host.length() - 1)) : ipv4(host);
        return address.map(numeric -> new InetSocketAddress(numeric, port));
    }

    private static Optional<InetAddress> ipv4(String host) {
        String[] parts = host.split("\\.", -1);
        if (parts.length != IPV4_BYTES) {
            return Optional.empty();
        }
        byte[] bytes = new byte[IPV4_BYTES];
        for (int index = 0; index < IPV4_BYTES; index++) {
            int part = number(parts[index], MAX_BYTE);
            if (part < 0) {
                return Optional.empty();
            }
            bytes[index] = (byte) part;
        }
        try {
            return Optional.of(InetAddress.getByAddress(bytes));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }

    private static Optional<InetAddress> ipv6(String host) {
        // A text with a colon is taken as a literal and never looked up.
        if (host.indexOf(':') < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(InetAddress.getByName(host));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    private static int number(String text, int largest) {
        if (text.isEmpty() || text.length() > 5 || !text.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            return -1;
        }
        int number = Integer.parseInt(text);
        return number <= largest ? number : -1;
    }

    static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (address.getAddress() instanceof Inet6Address ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
