import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A deployment of one router process, started with the command of the deploy file, and a store.
 *
 * All addresses are on one loopback address that is drawn at random. What happens is written to record.txt.
 */
final class Deployment implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final InetAddress address;
    final StoreStandIn store;
    final int callerPort;
    final int readyPort;
    private final int peerPort;
    private final Path folder;
    private final Path directory;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private Process router;

    /** Runs a case. */
    interface Case {
        /** Returns whether the rule held. */
        boolean run(Deployment deployment) throws Exception;
    }

    /** Runs a case in the folder given, and ends this process with the result. */
    static void run(String[] arguments, Case action) throws Exception {
        int result = COULD_NOT_RUN;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            try {
                result = action.run(deployment) ? HELD : BROKEN;
            } catch (Exception problem) {
                deployment.note("the case could not run: " + problem);
            }
            deployment.note("result: " + (result == HELD ? "held" : result == BROKEN ? "broken" : "could not run"));
        }
        System.exit(result);
    }

    private Deployment(Path folder) throws Exception {
        this.folder = folder;
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        directory = Files.createTempDirectory("router-review");
        int host = (int) (ProcessHandle.current().pid() % 60_000);
        address = InetAddress.getByName("127.77." + (1 + host / 250) + "." + (1 + host % 250));
        store = new StoreStandIn(address);
        callerPort = freePort();
        readyPort = freePort();
        peerPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("trouble: " + trouble + ", address: " + address.getHostAddress());
    }

    /** Adds a line to the record. */
    synchronized void note(String line) {
        record.printf("%8.3f s  %s%n", (System.nanoTime() - startedAt) / 1e9, line);
    }

    int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, address)) {
            return socket.getLocalPort();
        }
    }

    /** Starts the router and waits until it is ready. */
    void startRouter() throws Exception {
        router = launchRouter();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isReady()) {
            if (System.nanoTime() > until || !router.isAlive()) throw new IOException("the router is not ready");
            Thread.sleep(100);
        }
        // Time to join the group and to read the list of replicas again.
        Thread.sleep(2_500);
        note("the router is ready");
    }

    /** Starts the router with the command of the deploy file, without waiting for it. */
    Process launchRouter() throws Exception {
        Path settings = directory.resolve("node.conf");
        if (!Files.exists(settings)) Files.writeString(settings, settings());
        Path root = folder.toAbsolutePath().normalize().getParent().getParent();
        String line = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(command.split(" ")).directory(root.toFile());
        builder.environment().put("QUETZALLOOM_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve("router.log").toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        return process;
    }

    /** Starts a stand-in as a process of its own. */
    Process launchStandIn(String mainClass, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
            "java", "-Xmx64m", "-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        synchronized (processes) {
            processes.add(process);
        }
        return process;
    }

    Process router() {
        return router;
    }

    /** Returns whether the router answers the platform's question for readiness with 200 within a second. */
    boolean isReady() {
        return call(readyPort, "GET", "/-/readyz", "", new byte[0], 1_000).status() == 200;
    }

    /** Sends a request on a new connection to a port of the router, and returns the answer or the problem. */
    Http.Response call(int port, String method, String path, String headers, byte[] body, int timeoutMilliseconds) {
        try (Socket socket = connect(port, timeoutMilliseconds)) {
            OutputStream out = socket.getOutputStream();
            String length = body.length == 0 ? "" : "Content-Length: " + body.length + "\r\n";
            out.write(Http.ascii(method + " " + path + " HTTP/1.1\r\nHost: site.example\r\n" + headers + length + "\r\n"));
            out.write(body);
            out.flush();
            return Http.readResponse(new java.io.BufferedInputStream(socket.getInputStream()), method);
        } catch (IOException problem) {
            return Http.Response.problem(problem.toString());
        }
    }

    Socket connect(int port, int timeoutMilliseconds) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(address, port), timeoutMilliseconds);
        socket.setSoTimeout(timeoutMilliseconds);
        return socket;
    }

    /** Writes a configuration with the routes and the services given, as the operator does. */
    void configure(String routes, String services) {
        configure(7, routes, services, "\"key-of-bakery\"");
    }

    /** Writes a configuration in which the tenant has the keys given. */
    void configure(int version, String routes, String services, String keys) {
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"bakery\",\"api_keys\":[" + keys + "],\"priority\":1}]}");
    }

    static String route(String name, String type, String service, int timeoutMilliseconds, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"site.example\",\"path_prefix\":\"/" + name + "/\",\"type\":\""
            + type + "\",\"timeout_ms\":" + timeoutMilliseconds + ",\"target_latency_ms\":2000,\"priority\":1,"
            + "\"backend\":\"" + service + "\",\"max_attempts\":" + attempts + ",\"public\":false" + more + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }

    /** Keeps the entry of a replica in the list fresh, until the flag returned is set to false. */
    boolean[] register(String id, String service, int port) {
        boolean[] alive = {true};
        long born = System.currentTimeMillis();
        Threads.start("heartbeat", () -> {
            for (int sequence = 1; alive[0]; sequence++) {
                store.put("keyed.servers", id, "{\"backend\":\"" + service + "\",\"address\":\""
                    + address.getHostAddress() + ":" + port + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,"
                    + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + born + ",\"sequence\":" + sequence + "}");
                Thread.sleep(1_200);
            }
            store.put("keyed.servers", id, null);
        });
        return alive;
    }

    private String settings() {
        String host = address.getHostAddress();
        return String.join("\n",
            "node_name=edge-zone-a-1", "role=router", "machine_class=edge", "serves=edge", "ip=" + host, "zone=zone-a",
            "region=region-a", "zones.zone-a=region-a", "listen.frontend=" + host + ":" + callerPort,
            "listen.ready=" + host + ":" + readyPort, "port_range=" + peerPort + "," + peerPort, "bootstrap=true",
            "limits.memory_mb=430", "limits.max_fds=4100", "heartbeat_ms=1200", "bounds.contact_ms=3000",
            "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000", "bounds.retry_ratio=0.9",
            "bounds.retry_window_s=10", "bounds.retry_slack=54", "bounds.exposure_ratio=0.15",
            "bounds.session_ttl_s=5", "platform.address=" + host + ":" + store.port(), "platform.form=log", "");
    }

    private void endProcesses() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
        }
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (Process process : processes) process.waitFor(5, TimeUnit.SECONDS);
        Path log = directory.resolve("router.log");
        if (Files.exists(log)) {
            note("what the router wrote, without its lines of level INFO:");
            try (Stream<String> lines = Files.lines(log)) {
                lines.filter(line -> !line.contains("level=INFO"))
                    .limit(60).forEach(line -> record.println("    " + line));
            }
        }
        record.close();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
