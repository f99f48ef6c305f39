package io.carawaylift.runtime;

import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.Consumer;

/**
 * HTTP server for operators. Serves {@code /metrics} in the Prometheus text format, {@code /health}, and the routes
 * that a program adds.
 */
public final class AdminServer implements Service {
    private static final int WORKER_THREADS = 2;

    private final String address;
    private final int port;
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Jooby application = new Jooby();
    private final NettyServer server = new NettyServer();

    /**
     * Creates a server that listens on {@code address:port} once started; {@code routes} adds the program's own routes.
     */
    public AdminServer(String address, int port, Consumer<Jooby> routes) {
        this.address = address;
        this.port = port;
        application.get("/metrics", context -> {
            context.setResponseType(MediaType.text);
            return metrics.scrape();
        });
        application.get("/health", context -> "ok\n");
        routes.accept(application);
    }

    /** Returns the registry whose metrics {@code /metrics} serves. */
    public PrometheusMeterRegistry metrics() {
        return metrics;
    }

    @Override
    public void start() {
        ServerOptions options = new ServerOptions();
        options.setHost(address);
        options.setPort(port);
        options.setIoThreads(1);
        options.setWorkerThreads(WORKER_THREADS);
        server.setOptions(options);
        server.start(application);
    }

    @Override
    public void stop() {
        server.stop();
    }
}
