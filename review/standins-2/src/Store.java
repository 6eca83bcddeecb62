import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound stand-in for the platform's store: keyed topics with one partition, and consumer groups. */
final class Store {
    private static final int PARTS = 8;
    private static final int LARGEST_PAGE = 500;

    private record Entry(String key, byte[] value) {}

    private static final class Topic {
        final List<Entry> records = new ArrayList<>();
        final TreeMap<String, Integer> newest = new TreeMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final TreeMap<String, Long> members = new TreeMap<>();
    private final HttpServer server;
    private long generation;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes a record as the operator or a server does; no value removes the key. */
    synchronized void write(String topicName, String key, String value) {
        append(topicName, new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    private long append(String topicName, Entry entry) {
        Topic topic = topics.computeIfAbsent(topicName, name -> new Topic());
        topic.records.add(entry);
        int offset = topic.records.size() - 1;
        if (entry.value.length == 0) topic.newest.remove(entry.key);
        else topic.newest.put(entry.key, offset);
        notifyAll();
        return offset;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (exchange.getRequestURI().getPath()) {
                case "/-/log-append" -> handleAppend(exchange, query, body);
                case "/-/log-read" -> handleRead(exchange, query);
                case "/-/log-newest" -> handleNewest(exchange, query);
                case "/-/log-join" -> handleJoin(exchange, new String(body, StandardCharsets.UTF_8));
                case "/-/log-owners" -> handleOwners(exchange);
                default -> respond(exchange, 404, "{}");
            }
        } catch (InterruptedException problem) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void handleAppend(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        int status = 200;
        long offset = 0;
        long end;
        synchronized (this) {
            String name = query.get("topic");
            Topic topic = topics.computeIfAbsent(name, key -> new Topic());
            end = topic.records.size();
            String at = query.get("at");
            if (at != null && Long.parseLong(at) != end) {
                status = 412;
            } else {
                offset = end;
                ByteBuffer buffer = ByteBuffer.wrap(body);
                while (buffer.hasRemaining()) {
                    byte[] record = new byte[buffer.getInt()];
                    buffer.get(record);
                    int keyLength = record[0] & 0xFF;
                    String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
                    append(name, new Entry(key, java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length)));
                }
                end = topic.records.size();
            }
        }
        respond(exchange, status, "{\"offset\":" + offset + ",\"end_offset\":" + end + "}");
    }

    private void handleRead(HttpExchange exchange, Map<String, String> query)
            throws IOException, InterruptedException {
        int source = Integer.parseInt(query.get("source"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topics.computeIfAbsent(query.get("topic"), key -> new Topic());
            while (topic.records.size() <= source) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) break;
                wait(left);
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(topic.records.size());
            out.writeLong(0);
            for (int index = source; index < topic.records.size(); index++) {
                Entry entry = topic.records.get(index);
                byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
                out.writeInt(1 + key.length + entry.value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(entry.value);
            }
        }
        respond(exchange, 200, bytes.toByteArray(), "application/octet-stream");
    }

    private void handleNewest(HttpExchange exchange, Map<String, String> query) throws IOException {
        StringBuilder entries = new StringBuilder();
        boolean more = false;
        long end;
        synchronized (this) {
            Topic topic = topics.computeIfAbsent(query.get("topic"), key -> new Topic());
            end = topic.records.size();
            String after = query.get("after");
            int count = 0;
            for (var one : (after == null ? topic.newest : topic.newest.tailMap(after, false)).entrySet()) {
                if (count == LARGEST_PAGE) {
                    more = true;
                    break;
                }
                String data = Base64.getEncoder().encodeToString(topic.records.get(one.getValue()).value);
                entries.append(count++ == 0 ? "" : ",").append("{\"key\":\"").append(one.getKey())
                    .append("\",\"data\":\"").append(data).append("\",\"offset\":").append(one.getValue()).append('}');
            }
        }
        respond(exchange, 200,
            "{\"entries\":[" + entries + "],\"has_more\":" + more + ",\"end_offset\":" + end + "}");
    }

    private void handleJoin(HttpExchange exchange, String body) throws IOException {
        String member = find(body, "\"member_id\"\\s*:\\s*\"([^\"]*)\"");
        long timeToLive = Long.parseLong(find(body, "\"ttl_ms\"\\s*:\\s*(\\d+)"));
        StringBuilder rows = new StringBuilder();
        long current;
        synchronized (this) {
            long now = System.nanoTime() / 1_000_000;
            if (members.values().removeIf(until -> until < now)) generation++;
            if (members.put(member, now + timeToLive) == null) generation++;
            current = generation;
            forEachPartition((topic, part, owner) -> {
                if (owner.equals(member)) {
                    rows.append(rows.length() == 0 ? "" : ",").append("[\"").append(topic).append("\",").append(part)
                        .append(",0]");
                }
            });
        }
        respond(exchange, 200, "{\"generation\":" + current + ",\"parts\":[" + rows + "]}");
    }

    private void handleOwners(HttpExchange exchange) throws IOException {
        StringBuilder rows = new StringBuilder();
        long current;
        synchronized (this) {
            current = generation;
            forEachPartition((topic, part, owner) -> rows.append(rows.length() == 0 ? "" : ",").append("[\"")
                .append(topic).append("\",").append(part).append(",\"").append(owner).append("\",0]"));
        }
        respond(exchange, 200, "{\"generation\":" + current + ",\"parts\":[" + rows + "]}");
    }

    private interface PartitionAction {
        void apply(String topic, int part, String owner);
    }

    private void forEachPartition(PartitionAction action) {
        List<String> owners = new ArrayList<>(members.keySet());
        if (owners.isEmpty()) return;
        int index = 0;
        for (int topic = 0; topic < 16; topic++) {
            for (int part = 0; part < PARTS; part++) {
                action.apply("routers-" + topic, part, owners.get(index++ % owners.size()));
            }
        }
    }

    private static String find(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) throw new IllegalArgumentException("no " + pattern);
        return matcher.group(1);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> fields = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            String[] pair = part.split("=", 2);
            fields.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
        }
        return fields;
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        respond(exchange, status, body.getBytes(StandardCharsets.UTF_8), "application/json");
    }

    private static void respond(HttpExchange exchange, int status, byte[] body, String type) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) exchange.getResponseBody().write(body);
    }
}
