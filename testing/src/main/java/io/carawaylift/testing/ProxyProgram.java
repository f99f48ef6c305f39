package io.carawaylift.testing;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.runtime.Service;
import io.carawaylift.testing.http.HttpExchange;
import io.carawaylift.testing.http.HttpListener;
import io.carawaylift.testing.proxy.FaultProxy;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Runs a fault-injecting TCP proxy as a separate process. Control interface: {@code POST /pace?delayMs=&bytesPerSecond=},
 * {@code POST /cut}, {@code POST /mute}, {@code POST /freeze?on=true|false}, {@code POST /accept?on=true|false}.
 */
@Command(name = "proxy", description = "Runs a fault-injecting TCP proxy")
public final class ProxyProgram implements Service {
    private static final int CONTROL_CONNECTIONS = 20;

    @Option(name = "--address", description = "IP address to listen on")
    private String address = "127.0.0.1";

    @Option(name = "--port", description = "Port that clients connect to")
    @Required
    private int port;

    @Option(name = "--target-port", description = "Port to forward to on the same address")
    @Required
    private int targetPort;

    @Option(name = "--control-port", description = "Port of the control interface")
    @Required
    private int controlPort;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private FaultProxy proxy;
    private HttpListener control;

    /** Runs the program. */
    public static void main(String[] args) {
        Programs.runUntilSignal(Programs.parse(ProxyProgram.class, args));
    }

    @Override
    public void start() {
        proxy = new FaultProxy(address, port, new InetSocketAddress(address, targetPort));
        proxy.start();
        control = new HttpListener(eventLoops, address, controlPort, CONTROL_CONNECTIONS, this::handleControlRequest);
        control.start();
    }

    @Override
    public void stop() {
        control.stop();
        proxy.stop();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void handleControlRequest(HttpExchange request) {
        boolean on = request.parameter("on").map(Boolean::parseBoolean).orElse(true);
        switch (request.path()) {
            case "/pace" -> proxy.pace(request.number("delayMs", 0), request.number("bytesPerSecond", 0));
            case "/cut" -> proxy.resetConnections();
            case "/mute" -> proxy.mute();
            case "/freeze" -> proxy.freeze(on);
            case "/accept" -> proxy.accept(on);
            default -> {
                request.respondText(404, "no such page: " + request.path());
                return;
            }
        }
        request.respondJson(Map.of("connections", proxy.connections()));
    }
}
