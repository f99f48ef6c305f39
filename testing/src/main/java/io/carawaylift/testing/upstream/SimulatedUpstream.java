package io.carawaylift.testing.upstream;

import io.carawaylift.runtime.Service;
import io.carawaylift.testing.http.HttpExchange;
import io.carawaylift.testing.http.HttpListener;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Simulates several endpoints in one process, with a control interface: {@code GET /statistics}, {@code POST /reset},
 * {@code GET /runs?kind=once|repeatable|ticket|id[&key=]}, and {@code POST /faults?endpoint=|upstream=&silent=&shed=
 * &slowFactor=&dropAnswers=&cutBodies=&reportedLoad=&leaving=&cold=}, which applies to all endpoints unless
 * the query names an endpoint or an upstream.
 */
public final class SimulatedUpstream implements Service {
    private static final int CONTROL_CONNECTIONS = 100;

    private final RunCounts runs = new RunCounts();
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<SimulatedEndpoint> endpoints;
    private final HttpListener control;

    /** Creates the endpoints of a plan; {@link #start} opens their ports. */
    public SimulatedUpstream(UpstreamPlan plan) {
        endpoints = plan.endpoints().stream()
                .map(endpoint -> new SimulatedEndpoint(plan, endpoint, runs, eventLoops))
                .toList();
        control = new HttpListener(
                eventLoops, plan.address(), plan.controlPort(), CONTROL_CONNECTIONS, this::handleControlRequest);
    }

    /** Returns the port of the control interface. */
    public int controlPort() {
        return control.port();
    }

    /** Returns the port of the endpoint with the given index in the plan. */
    public int endpointPort(int index) {
        return endpoints.get(index).listener().port();
    }

    /** Returns the statistics of all endpoints in the order of the plan. */
    public List<EndpointStatistics> statistics() {
        return endpoints.stream().map(SimulatedEndpoint::statistics).toList();
    }

    /** Returns the number of runs of at-most-once requests by path. */
    public Map<String, Integer> atMostOnceRuns() {
        return runs.countsByKey("once");
    }

    @Override
    public void start() {
        endpoints.forEach(endpoint -> endpoint.listener().start());
        control.start();
    }

    @Override
    public void stop() {
        endpoints.forEach(endpoint -> endpoint.listener().stop());
        control.stop();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void handleControlRequest(HttpExchange request) {
        switch (request.path()) {
            case "/statistics" ->
                request.respondJson(Map.of("runCountsOverflowed", runs.overflowed(), "endpoints", statistics()));
            case "/reset" -> {
                runs.removeIdempotent();
                endpoints.forEach(SimulatedEndpoint::resetPeak);
                request.respondJson(Map.of());
            }
            case "/runs" -> sendRunCounts(request);
            case "/faults" -> {
                endpoints.stream()
                        .filter(endpoint -> isNamed(request, endpoint))
                        .forEach(endpoint -> endpoint.control(request));
                request.respondJson(Map.of());
            }
            default -> request.respondText(404, "no such page: " + request.path());
        }
    }

    private void sendRunCounts(HttpExchange request) {
        String kind = request.parameter("kind").orElse("once");
        if (request.parameter("key").isPresent()) {
            request.respondJson(
                    Map.of("runs", runs.count(kind, request.parameter("key").get())));
        } else {
            request.respondJson(runs.countsByKey(kind));
        }
    }

    private static boolean isNamed(HttpExchange request, SimulatedEndpoint endpoint) {
        return request.parameter("endpoint").map(endpoint.id()::equals).orElse(true)
                && request.parameter("upstream")
                        .map(endpoint.upstream()::equals)
                        .orElse(true);
    }
}
