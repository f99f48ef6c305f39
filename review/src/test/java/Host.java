import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A host program as a separate process, started with the command of the deploy file. */
final class Host {
    final String name;
    final String zone;
    final String address;
    private final Process process;
    private final int basePort;
    private final Path outputFile;

    private Host(String name, String zone, String address, int basePort, Process process, Path outputFile) {
        this.outputFile = outputFile;
        this.name = name;
        this.zone = zone;
        this.address = address;
        this.basePort = basePort;
        this.process = process;
    }

    /** Starts a program with settings like those that the platform fills in. */
    static Host start(
            Path folder, String name, String region, String zone, String address, int basePort, int storePort, Map<String, String> zones)
            throws IOException {
        StringBuilder settings = new StringBuilder();
        settings.append("[host]\nid = \"").append(name).append("\"\nregion = \"").append(region);
        settings.append("\"\nfailure_domain = \"").append(zone).append("\"\naddress = \"").append(address);
        settings.append("\"\n\n[listen]\ncallers = \"").append(address).append(':').append(basePort);
        settings.append("\"\nreadiness = \"").append(address).append(':').append(basePort + 1);
        settings.append("\"\nlookups = \"").append(address).append(':').append(basePort + 2);
        settings.append("\"\npeer_port = ").append(basePort + 3).append("\nmetrics_port = ").append(basePort + 4);
        settings.append("\n\n[platform]\nstore = \"127.0.0.1:").append(storePort);
        settings.append("\"\n\n[machine]\nprocessor_share = 0.6\nprocessor_speed = 1\n\n[zones]\n");
        zones.forEach((each, its) -> settings.append('"').append(each).append("\" = \"").append(its).append("\"\n"));
        settings.append("\n[limits]\ngrace_period_s = 6\nretry_ratio = 0.2\nretry_allowance = 60\nretry_window_s = 10\n");
        settings.append("max_region_shift = 0.15\n");
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in deploy/system.toml");
        }
        Path output = folder.resolve(name + ".out");
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("CARAWAYLIFT_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(output.toFile());
        Process process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return new Host(name, zone, address, basePort, process, output);
    }

    /** Returns the status of a page of the host, 0 if there is no answer. */
    private int status(int port, String path) {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://" + address + ":" + port + path).toURL().openConnection();
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            int status = connection.getResponseCode();
            connection.disconnect();
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    boolean isReady() {
        return status(basePort + 1, "/v1/readiness") == 200;
    }

    /** Returns the text of the metrics page. */
    String metrics() throws IOException {
        return new String(
                URI.create("http://" + address + ":" + (basePort + 4) + "/metrics").toURL().openStream().readAllBytes());
    }

    /** Returns what the directory of this host answers, empty if it does not answer. */
    List<String> resolve(String region, String zone) {
        try {
            String answer = new String(URI.create("http://" + address + ":" + (basePort + 2)
                            + "/v1/resolve?name=jepu9.example&region=" + region + "&zone=" + zone)
                    .toURL()
                    .openStream()
                    .readAllBytes());
            List<String> addresses = new ArrayList<>();
            Matcher each = Pattern.compile("\"([0-9.]+:[0-9]+)\"").matcher(answer);
            while (each.find()) {
                addresses.add(each.group(1));
            }
            return addresses;
        } catch (IOException e) {
            return List.of();
        }
    }

    /** Returns the end of what the program has written. */
    String output() throws IOException {
        String all = Files.readString(outputFile);
        return all.substring(Math.max(0, all.length() - 2000));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process at once, as when its machine loses power. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }
}
