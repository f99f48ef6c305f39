package io.carawaylift.testing.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;

/** Consecutive free ports below the ephemeral port range of the system. Not thread-safe. */
public final class PortRange {
    private static final int MIN_PORT = 12_000;
    private static final int MAX_PORT = 31_000;
    private static final int MAX_ATTEMPTS = 200;

    private int next;
    private final int end;

    private PortRange(int first, int count) {
        this.next = first;
        this.end = first + count;
    }

    /** Finds a range in which every port can be bound now. */
    public static PortRange find(int count) {
        SplittableRandom random = new SplittableRandom(ProcessHandle.current().pid() * 31 + System.nanoTime());
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int first = random.nextInt(MIN_PORT, MAX_PORT - count);
            if (areFree(first, count)) {
                return new PortRange(first, count);
            }
        }
        throw new IllegalStateException("no " + count + " consecutive free ports found");
    }

    /** Returns the next port. */
    public int take() {
        if (next == end) {
            throw new IllegalStateException("all ports of the range have been taken");
        }
        return next++;
    }

    private static boolean areFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                socket.setReuseAddress(true);
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
