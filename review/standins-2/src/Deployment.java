import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: the store, replicas and routers, with the record of what happened. */
final class Deployment implements AutoCloseable {
    /** The exit codes of a case. A virtual machine that fails exits with 1, which must not look like a result. */
    static final int HELD = 0;
    static final int BROKEN = 10;
    static final int NOT_RUN = 2;

    private static final int METRICS_PORT = 9464;

    static final String KEY = "key-1";
    static final String HOST = "app.example";
    private static final long START_NANOS = System.nanoTime();

    /** A machine of its own loopback address. Like the platform, it starts its process again when that ends. */
    final class Machine {
        final String ip;
        final int callers;
        final int ready;
        private final Path settings;
        volatile Process process;
        volatile int ownEnds;
        private volatile boolean closing;

        Machine(int number) throws IOException {
            ip = freeAddress();
            callers = freePort(ip);
            ready = freePort(ip);
            settings = folder.resolve("node-" + number + ".conf");
            Files.writeString(settings, String.join("\n",
                "node_name=edge-" + number, "role=router", "machine_class=edge", "serves=edge", "ip=" + ip,
                "zone=zone-" + number, "region=here", "zones.zone-" + number + "=here",
                "listen.frontend=" + ip + ":" + callers, "listen.ready=" + ip + ":" + ready,
                "listen.control_plane=" + ip + ":" + freePort(ip),
                "port_range=" + freePort(ip) + "," + 65_535, "bootstrap=true", "limits.memory_mb=280",
                "bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000",
                "bounds.retry_ratio=0.9", "bounds.retry_window_s=10", "bounds.retry_slack=52",
                "bounds.exposure_ratio=0.15", "bounds.evacuate_ms=5000", "bounds.session_ttl_s=5",
                "platform.address=127.0.0.1:" + store.port(), "platform.form=log", ""));
        }

        private synchronized void start() throws IOException {
            if (closing) return;
            List<String> command = new ArrayList<>(List.of(runLine().split(" ")));
            command.add("--settings");
            command.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command).directory(root);
            File log = folder.resolve(settings.getFileName() + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            Process started = process;
            started.onExit().thenAccept(ended -> {
                if (closing) return;
                ownEnds++;
                note("the process on " + ip + " has ended by itself with " + ended.exitValue() + ": "
                    + lastLine(log.toPath()));
                try {
                    TimeUnit.MILLISECONDS.sleep(500);
                    start();
                } catch (IOException | InterruptedException problem) {
                    note("the process was not started again: " + problem);
                }
            });
        }

        private synchronized void stop() {
            closing = true;
            if (process != null) process.destroyForcibly();
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, ready), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream().write(Http.bytes("GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n"));
                return Http.readHead(new BufferedInputStream(socket.getInputStream())).status() == 200;
            } catch (IOException | RuntimeException problem) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException {
            for (int attempt = 0; attempt < 100; attempt++) {
                if (isReady()) return;
                TimeUnit.MILLISECONDS.sleep(200);
            }
            throw new IllegalStateException("the router on " + ip + " is not ready");
        }

        /** Peak memory in MB of the current process; 0 if unknown. */
        long peakMegabytes() {
            try {
                Matcher peak = Pattern.compile("VmHWM:\\s*(\\d+)")
                    .matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
                return peak.find() ? Long.parseLong(peak.group(1)) / 1_024 : 0;
            } catch (IOException problem) {
                return 0;
            }
        }

        Socket connect() throws IOException {
            return connect(0);
        }

        /** Connects with a window of some bytes, or with the usual one if that is 0. */
        Socket connect(int windowBytes) throws IOException {
            Socket socket = new Socket();
            if (windowBytes > 0) socket.setReceiveBufferSize(windowBytes);
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, callers), 1_000);
            return socket;
        }
    }

    final Store store;
    final Path folder;
    final File root;
    final List<Machine> machines = new ArrayList<>();
    private final PrintWriter record;

    Deployment(String caseFolder) throws IOException {
        root = new File(System.getProperty("root"));
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        folder = Files.createTempDirectory("review-2-");
        store = new Store("127.0.0.1");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts machines, and waits until they are ready. */
    void startMachines(int count) throws IOException, InterruptedException {
        for (int number = 0; number < count; number++) {
            Machine machine = new Machine(number);
            machines.add(machine);
            machine.start();
        }
        for (Machine machine : machines) machine.awaitReady();
        TimeUnit.SECONDS.sleep(2);
        note(count + " routers are ready");
    }

    void list(Replica replica, String service, String zone) {
        store.write("keyed.servers", replica.id, "{\"backend\":\"" + service + "\",\"address\":\"" + replica.address()
            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + "\"sequence\":1,\"born\":1}");
    }

    /** Returns the configuration of two routes to one service, with the limits of the example deployments. */
    static String configuration(int version, int timeoutMilliseconds, int maximumHeaderBytes) {
        String route = "{\"name\":\"%s\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\"/%s/\",\"type\":\"%s\","
            + "\"timeout_ms\":" + timeoutMilliseconds + ",\"target_latency_ms\":400,\"priority\":0,"
            + "\"backend\":\"ledger\",\"max_attempts\":2,\"public\":false}";
        return "{\"version\":" + version + ",\"routes\":["
            + String.format(route, "book", "book", "non_idempotent") + ","
            + String.format(route, "look", "look", "idempotent")
            + "],\"services\":[{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":"
            + maximumHeaderBytes + ",\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"hule\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    synchronized void note(String text) {
        String line = String.format("%8.3f %s", (System.nanoTime() - START_NANOS) / 1e9, text);
        record.println(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        for (Machine machine : machines) machine.stop();
        if (Boolean.getBoolean("keep")) return;
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }

    private String runLine() throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.toPath().resolve("deploy/system.toml")));
        if (!line.find()) throw new IOException("the deploy file has no run line");
        return line.group(1);
    }

    private static String lastLine(Path log) {
        try {
            List<String> lines = Files.readAllLines(log, java.nio.charset.StandardCharsets.ISO_8859_1);
            return lines.stream().filter(line -> line.contains("OutOfMemory")).reduce((first, second) -> second)
                .orElse(lines.isEmpty() ? "" : lines.get(lines.size() - 1));
        } catch (IOException problem) {
            return problem.toString();
        }
    }

    /** Returns a loopback address whose port for metrics, which the deploy file fixes, is free. */
    private static String freeAddress() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            String ip = "127." + byteFrom(1) + "." + byteFrom(0) + "." + byteFrom(1);
            try (var socket = new java.net.ServerSocket(METRICS_PORT, 1, java.net.InetAddress.getByName(ip))) {
                return ip;
            } catch (java.net.BindException taken) {
                // Another address may be free.
            }
        }
        throw new IOException("no loopback address is free");
    }

    private static int byteFrom(int first) {
        return java.util.concurrent.ThreadLocalRandom.current().nextInt(first, 255);
    }

    private static int freePort(String ip) throws IOException {
        try (var socket = new java.net.ServerSocket(0, 1, java.net.InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }
}
